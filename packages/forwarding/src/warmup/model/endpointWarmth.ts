/** What this host knows of whether one process of an endpoint is cold. Times are those of the monotonic clock. */
import type { ColdPolicy } from "../../configuration/model/servingConfiguration.js";
import type { WarmupLog } from "./warmupLog.js";

/** Where a cold period is known from, as written to the log; `peer` if another host has got the response. */
export type ColdSource = "row" | "response" | "peer" | "start" | "return";

/** Longer times that an endpoint states are shortened to this one, unless the service is cold for longer. */
export const MAX_STATED_MS = 60_000;

/**
 * Periods that end within this time are the same one. The time of a message makes a response seem later to each host that
 * is told, and two hosts that tell it each other would extend the period.
 */
const MAX_ECHO_MS = 100;

/** Longest time for which hosts tell each other that a response has ended a cold period. */
const SHARE_END_MS = 10_000;

/** A cold time, or a value that is none, as decoded from a row or a response. */
export interface ColdStatement {
    readonly coldRemainingMs?: number;
    readonly invalidCold?: string;
}

/** What a response has said, as hosts tell it each other. */
export interface SharedColdness {
    /** Time that the response has named, in milliseconds; 0 if the endpoint was warm. */
    readonly remainingMs: number;
    /** Time since the response, in milliseconds. */
    readonly ageMs: number;
}

export interface EndpointWarmth {
    /** Records the row. It may have been written a second or more ago. */
    readonly recordRow: (statement: ColdStatement, nowMs: number) => void;
    /** Records a response to this host. */
    readonly recordResponse: (statement: ColdStatement, nowMs: number) => void;
    /** Records that the evacuation of the endpoint's failure domain has been removed. */
    readonly markReturned: (nowMs: number) => void;
    /** Adopts what another host tells, unless this one has a later response. */
    readonly adopt: (shared: SharedColdness, nowMs: number) => void;
    /** Returns what to tell other hosts, `undefined` if there is nothing. */
    readonly share: (nowMs: number) => SharedColdness | undefined;
    /** Returns the time for which the endpoint is cold, in milliseconds; 0 for a warm one. */
    readonly getRemainingMs: (nowMs: number) => number;
    /** Returns the rate that the endpoint tolerates now, `undefined` if it is warm. */
    readonly getRate: (nowMs: number) => number | undefined;
}

export interface EndpointWarmthOptions {
    readonly endpointId: string;
    /** Whether the process has started while this host followed the table. */
    readonly hasJustStarted: boolean;
    readonly nowMs: number;
    /** Returns the policy of the endpoint's service, `undefined` if its endpoints are never cold. */
    readonly getPolicy: () => ColdPolicy | undefined;
    readonly log: WarmupLog;
    /** Called when a response begins or ends a cold period, so that other hosts are told at once. */
    readonly onChange: (source: "report" | "peer") => void;
}

/** A time that was stated at a moment. */
interface Statement {
    readonly remainingMs: number;
    readonly atMs: number;
}

/** Creates the state of a process before its row is recorded. */
export function createEndpointWarmth(options: EndpointWarmthOptions): EndpointWarmth {
    const { endpointId, getPolicy, log, onChange } = options;
    let startedAtMs = options.hasJustStarted ? options.nowMs : undefined;
    let returnedAtMs: number | undefined;
    let row: Statement | undefined;
    let response: Statement | undefined;
    /** When a response ended a cold period; `undefined` if none did. */
    let endedAtMs: number | undefined;
    let hasLoggedInvalid = false;

    const getRemainingMs = (nowMs: number): number => {
        const policy = getPolicy();
        return policy === undefined ? 0 : Math.max(
            getStatedMs(row, policy, nowMs),
            getStatedMs(response, policy, nowMs),
            getPeriodMs(startedAtMs, policy.durationMs, nowMs),
            getPeriodMs(returnedAtMs, policy.durationMs, nowMs),
        );
    };
    const logIfBegun = (wasCold: boolean, source: ColdSource, nowMs: number): void => {
        const remainingMs = getRemainingMs(nowMs);
        if (!wasCold && remainingMs > 0) {
            log.write("info", { endpoint: endpointId, source, remainingMs }, "endpoint is cold", nowMs);
        }
    };
    const hasValue = ({ coldRemainingMs, invalidCold }: ColdStatement, nowMs: number): boolean => {
        if (invalidCold !== undefined && !hasLoggedInvalid && getPolicy() !== undefined) {
            hasLoggedInvalid = true;
            log.write("warn", { endpoint: endpointId, value: invalidCold }, "invalid cold time ignored", nowMs);
        }
        return coldRemainingMs !== undefined;
    };
    /** A later response replaces what rows have said before. */
    const setResponse = (statement: Statement, source: "report" | "peer", nowMs: number): void => {
        const wasCold = getRemainingMs(nowMs) > 0;
        response = statement;
        if (row !== undefined && row.atMs <= statement.atMs) {
            row = undefined;
        }
        if (statement.remainingMs === 0 && startedAtMs !== undefined && startedAtMs <= statement.atMs) {
            startedAtMs = undefined;
        }
        endedAtMs = statement.remainingMs > 0 ? undefined : wasCold ? nowMs : endedAtMs;
        logIfBegun(wasCold, source === "peer" ? "peer" : "response", nowMs);
        if (getPolicy() !== undefined && wasCold !== getRemainingMs(nowMs) > 0) {
            onChange(source);
        }
    };
    logIfBegun(false, "start", options.nowMs);
    return {
        recordRow: (statement, nowMs) => {
            if (!hasValue(statement, nowMs)) {
                return;
            }
            const wasCold = getRemainingMs(nowMs) > 0;
            const { coldRemainingMs: remainingMs = 0 } = statement;
            row = { remainingMs, atMs: nowMs };
            startedAtMs = remainingMs === 0 ? undefined : startedAtMs;
            logIfBegun(wasCold, "row", nowMs);
        },
        recordResponse: (statement, nowMs) => {
            if (hasValue(statement, nowMs)) {
                setResponse({ remainingMs: statement.coldRemainingMs ?? 0, atMs: nowMs }, "report", nowMs);
            }
        },
        markReturned: nowMs => void (returnedAtMs = nowMs),
        adopt: ({ remainingMs, ageMs }, nowMs) => {
            const told = { remainingMs, atMs: nowMs - ageMs };
            if (response === undefined || response.atMs < told.atMs && !isEcho(response, told)) {
                setResponse(told, "peer", nowMs);
            }
        },
        share: nowMs => {
            const policy = getPolicy();
            return response === undefined || policy === undefined || !isNews(response, endedAtMs, policy, nowMs)
                ? undefined
                : { remainingMs: response.remainingMs, ageMs: nowMs - response.atMs };
        },
        getRemainingMs,
        getRate: nowMs => getRemainingMs(nowMs) > 0 ? getPolicy()?.requestsPerSecond : undefined,
    };
}

/**
 * Returns whether other hosts have to know of a response. That an endpoint is warm is news only after a cold period:
 * hundreds of endpoints may say it in each response.
 */
const isNews = (
    { remainingMs, atMs }: Statement,
    endedAtMs: number | undefined,
    { durationMs }: ColdPolicy,
    nowMs: number,
): boolean =>
    remainingMs > 0
        ? nowMs - atMs <= Math.max(remainingMs, durationMs)
        : endedAtMs !== undefined && nowMs - endedAtMs <= Math.min(durationMs, SHARE_END_MS);

const isEcho = (a: Statement, b: Statement): boolean =>
    Math.abs(a.atMs + a.remainingMs - (b.atMs + b.remainingMs)) <= MAX_ECHO_MS;

const getPeriodMs = (startMs: number | undefined, durationMs: number, nowMs: number): number =>
    startMs === undefined ? 0 : Math.max(0, startMs + durationMs - nowMs);

const getStatedMs = (statement: Statement | undefined, { durationMs }: ColdPolicy, nowMs: number): number =>
    getPeriodMs(
        statement?.atMs,
        Math.min(statement?.remainingMs ?? 0, Math.max(durationMs, MAX_STATED_MS)),
        nowMs,
    );
