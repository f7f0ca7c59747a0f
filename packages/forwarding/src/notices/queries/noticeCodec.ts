/** Encoding of what hosts tell each other about the notices of endpoints. */
import type { Clocks } from "@currantrill/protocol";
import type { EndpointDirectory } from "../../endpoints/model/endpointDirectory.js";
import type { SharedColdness } from "../../warmup/model/endpointWarmth.js";
import type { SharedNotice } from "../model/endpointNotices.js";

/** A notice with the process of the endpoint that gave it. */
export interface NoticeReport extends Omit<SharedNotice, "ageMs"> {
    readonly endpointId: string;
    /** Time since the response; absent if there is only a cold time to tell. */
    readonly ageMs?: number;
    /** What the latest response with a cold time has said. */
    readonly coldness?: SharedColdness;
    /** Start of the endpoint's process, in Unix milliseconds. */
    readonly processStartedAtMs: number;
}

export type NoticeRow = readonly [
    endpointId: string,
    processStartedAtMs: number,
    requestsPerSecond: number | null,
    /** `NO_NOTICE_AGE_MS` if there is only a cold time to tell. */
    ageMs: number,
    leavingAgeMs: number | null,
    /** Absent in messages of builds that know no cold endpoints. */
    coldRemainingMs?: number | null,
    coldAgeMs?: number | null,
];

/** Age of a notice that no host adopts, also of builds that know no cold endpoints: eleven days. */
const NO_NOTICE_AGE_MS = 1e9;

/** Most notices in a message, about 10 KB. */
const MAX_NOTICES = 256;

/** Lists the notices to tell other hosts. If there are too many, those with the latest responses are listed. */
export const listNoticeReports = (directory: EndpointDirectory, now: Clocks): readonly NoticeReport[] =>
    directory.listAll()
        .flatMap(({ entry, notices, warmth }): readonly NoticeReport[] => {
            const notice = notices.share(now);
            const coldness = warmth.share(now.monotonicMs);
            return notice === undefined && coldness === undefined ? [] : [{
                ...notice,
                ...(coldness === undefined ? {} : { coldness }),
                endpointId: entry.id,
                processStartedAtMs: entry.processStartedAtMs,
            }];
        })
        .sort((a, b) => getAgeMs(a) - getAgeMs(b))
        .slice(0, MAX_NOTICES);

/** Ages are rounded up, so that nothing becomes younger by being told. */
export const encodeNotice = (
    { endpointId, processStartedAtMs, requestsPerSecond, ageMs, leavingAgeMs, coldness }: NoticeReport,
): NoticeRow => [
    endpointId,
    processStartedAtMs,
    requestsPerSecond ?? null,
    ageMs === undefined ? NO_NOTICE_AGE_MS : Math.ceil(ageMs),
    leavingAgeMs === undefined ? null : Math.ceil(leavingAgeMs),
    coldness?.remainingMs ?? null,
    coldness === undefined ? null : Math.ceil(coldness.ageMs),
];

export const decodeNotice = (
    [endpointId, processStartedAtMs, requestsPerSecond, ageMs, leavingAgeMs, coldMs, coldAgeMs]: NoticeRow,
): NoticeReport => ({
    endpointId,
    processStartedAtMs,
    ...(ageMs >= NO_NOTICE_AGE_MS ? {} : { ageMs }),
    ...(requestsPerSecond === null ? {} : { requestsPerSecond }),
    ...(leavingAgeMs === null ? {} : { leavingAgeMs }),
    ...(typeof coldMs === "number" && typeof coldAgeMs === "number"
        ? { coldness: { remainingMs: coldMs, ageMs: coldAgeMs } }
        : {}),
});

const getAgeMs = ({ ageMs = Infinity, coldness }: NoticeReport): number => Math.min(ageMs, coldness?.ageMs ?? Infinity);
