/** Encoding of what hosts tell each other about the notices of endpoints. */
import type { Clocks } from "@currantrill/protocol";
import type { EndpointDirectory } from "../../endpoints/model/endpointDirectory.js";
import type { SharedNotice } from "../model/endpointNotices.js";

/** A notice with the process of the endpoint that gave it. */
export interface NoticeReport extends SharedNotice {
    readonly endpointId: string;
    /** Start of the endpoint's process, in Unix milliseconds. */
    readonly processStartedAtMs: number;
}

export type NoticeRow = readonly [
    endpointId: string,
    processStartedAtMs: number,
    requestsPerSecond: number | null,
    ageMs: number,
    leavingAgeMs: number | null,
];

/** Most notices in a message, about 10 KB. */
const MAX_NOTICES = 256;

/** Lists the notices to tell other hosts. If there are too many, those with the latest responses are listed. */
export const listNoticeReports = (directory: EndpointDirectory, now: Clocks): readonly NoticeReport[] =>
    directory.listAll()
        .flatMap(({ entry, notices }): readonly NoticeReport[] => {
            const notice = notices.share(now);
            return notice === undefined
                ? []
                : [{ ...notice, endpointId: entry.id, processStartedAtMs: entry.processStartedAtMs }];
        })
        .sort((a, b) => a.ageMs - b.ageMs)
        .slice(0, MAX_NOTICES);

/** Ages are rounded up, so that nothing becomes younger by being told. */
export const encodeNotice = (
    { endpointId, processStartedAtMs, requestsPerSecond, ageMs, leavingAgeMs }: NoticeReport,
): NoticeRow => [
    endpointId,
    processStartedAtMs,
    requestsPerSecond ?? null,
    Math.ceil(ageMs),
    leavingAgeMs === undefined ? null : Math.ceil(leavingAgeMs),
];

export const decodeNotice = (
    [endpointId, processStartedAtMs, requestsPerSecond, ageMs, leavingAgeMs]: NoticeRow,
): NoticeReport => ({
    endpointId,
    processStartedAtMs,
    ageMs,
    ...(requestsPerSecond === null ? {} : { requestsPerSecond }),
    ...(leavingAgeMs === null ? {} : { leavingAgeMs }),
});
