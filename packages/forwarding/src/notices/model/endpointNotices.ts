/** What one process of an endpoint states about itself in its responses. */
import { type Clocks, measureElapsed } from "@currantrill/protocol";
import type Logger from "bunyan";
import type { EndpointNotice } from "../../ports/endpointProtocol.js";
import { createPause } from "./pause.js";

/** What a response answers, as written to the log; `peer` if another host has got the response. */
export type NoticeSource = "request" | "order" | "report" | "peer";

/** Lower limits count as this one, so that a request finds out from time to time whether the limit still holds. */
export const MIN_REQUESTS_PER_SECOND = 0.1;
/** Higher limits are not enforced: no host sends an endpoint that many requests. */
const MAX_REQUESTS_PER_SECOND = 1_000;
/** A limit that no response has named for this time is forgotten. The lowest limit allows a request every 10 s. */
const LIMIT_VALID_MS = 60_000;
/** Time after which a leaving endpoint that still runs and no longer says so is used again. */
export const LEAVING_VALID_MS = 60_000;
/** Time for which hosts tell each other that an endpoint no longer names a limit. */
const SHARE_END_MS = 10_000;

/** The latest notice of an endpoint, as hosts tell it each other. */
export interface SharedNotice {
    readonly requestsPerSecond?: number;
    /** Time since the response, in milliseconds. */
    readonly ageMs: number;
    /** Time since the last response that says that the endpoint leaves; absent if none does. */
    readonly leavingAgeMs?: number;
}

export interface EndpointNotices {
    /** Records the notice of a response to this host. */
    readonly record: (notice: EndpointNotice, source: NoticeSource, now: Clocks) => void;
    /** Adopts what another host tells, unless this one has heard from the endpoint since. */
    readonly adopt: (notice: SharedNotice, now: Clocks) => void;
    /** Returns what to tell other hosts, `undefined` if there is nothing. */
    readonly share: (now: Clocks) => SharedNotice | undefined;
    /** Returns the requests a second that the endpoint takes from all hosts together, `undefined` without a limit. */
    readonly getRateLimit: (now: Clocks) => number | undefined;
    /** Returns whether the endpoint has said that it leaves. A later response without that does not take it back. */
    readonly isLeaving: (now: Clocks) => boolean;
    /** Returns the time in which the endpoint wants no request of this host, in milliseconds. */
    readonly getPauseMs: (now: Clocks) => number;
}

export interface EndpointNoticesOptions {
    readonly endpointId: string;
    readonly log: Logger;
    /** Called when the limit changes, so that other hosts are told at once. */
    readonly onChange: (source: NoticeSource) => void;
}

interface Statement {
    readonly requestsPerSecond: number | undefined;
    readonly heardAt: Clocks;
}

/** Creates the notices of an endpoint that has not responded yet. */
export function createEndpointNotices({ endpointId, log, onChange }: EndpointNoticesOptions): EndpointNotices {
    let last: Statement | undefined;
    let limitEndedAt: Clocks | undefined;
    let leavingHeardAt: Clocks | undefined;
    const pause = createPause({ endpointId, log });
    let hasLoggedInvalid = false;
    const getLeavingAgeMs = (now: Clocks): number =>
        leavingHeardAt === undefined ? Infinity : measureElapsed(leavingHeardAt, now);
    const isLeaving = (now: Clocks): boolean => getLeavingAgeMs(now) <= LEAVING_VALID_MS;
    const markLeaving = (ageMs: number, now: Clocks, source: NoticeSource): void => {
        const isNews = !isLeaving(now);
        if (ageMs >= Math.min(getLeavingAgeMs(now), LEAVING_VALID_MS)) {
            return;
        }
        leavingHeardAt = subtractAge(now, ageMs);
        if (isNews) {
            log.info({ endpoint: endpointId, source }, "endpoints: leaving");
            onChange(source);
        }
    };
    const set = (requestsPerSecond: number | undefined, heardAt: Clocks, source: NoticeSource): void => {
        const previous = last?.requestsPerSecond;
        last = { requestsPerSecond, heardAt };
        if (requestsPerSecond !== previous) {
            limitEndedAt = requestsPerSecond === undefined ? heardAt : undefined;
            log.info({ endpoint: endpointId, requestsPerSecond, previous, source }, "endpoints: rate limit changed");
            onChange(source);
        }
    };
    return {
        record: ({ requestsPerSecond, invalidLimit, isLeaving: saysLeaving, pauseMs }, source, now) => {
            if (pauseMs !== undefined) {
                pause.extend(pauseMs, now);
            }
            if (saysLeaving) {
                markLeaving(0, now, source);
            }
            if (invalidLimit === undefined) {
                hasLoggedInvalid = false;
                set(requestsPerSecond, now, source);
                return;
            }
            if (!hasLoggedInvalid) {
                hasLoggedInvalid = true;
                log.warn({ endpoint: endpointId, value: invalidLimit }, "endpoints: invalid rate limit ignored");
            }
        },
        adopt: ({ requestsPerSecond, ageMs, leavingAgeMs }, now) => {
            if (leavingAgeMs !== undefined) {
                markLeaving(leavingAgeMs, now, "peer");
            }
            if (last === undefined || measureElapsed(last.heardAt, now) > ageMs) {
                set(requestsPerSecond, subtractAge(now, ageMs), "peer");
            }
        },
        share: now => {
            const { requestsPerSecond, heardAt = now } = last ?? {};
            const ageMs = measureElapsed(heardAt, now);
            const hasJustEnded = limitEndedAt !== undefined && measureElapsed(limitEndedAt, now) <= SHARE_END_MS;
            const isCurrent = requestsPerSecond === undefined ? hasJustEnded : ageMs <= LIMIT_VALID_MS;
            return !isCurrent && !isLeaving(now)
                ? undefined
                : {
                    ageMs,
                    ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }),
                    ...(isLeaving(now) ? { leavingAgeMs: getLeavingAgeMs(now) } : {}),
                };
        },
        getRateLimit: now => {
            const limit = last?.requestsPerSecond;
            return last === undefined || limit === undefined || measureElapsed(last.heardAt, now) > LIMIT_VALID_MS
                ? undefined
                : clampLimit(limit);
        },
        isLeaving,
        getPauseMs: pause.getRemainingMs,
    };
}

/** Returns the limit to keep to, `undefined` if it is too high to matter. */
const clampLimit = (requestsPerSecond: number): number | undefined =>
    requestsPerSecond > MAX_REQUESTS_PER_SECOND ? undefined : Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);

const subtractAge = ({ wallMs, monotonicMs }: Clocks, ageMs: number): Clocks => ({
    wallMs: wallMs - ageMs,
    monotonicMs: monotonicMs - ageMs,
});
