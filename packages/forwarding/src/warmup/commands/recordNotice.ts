/** Records what an endpoint states about itself, and what other hosts tell of it. */
import type { Clocks } from "@currantrill/protocol";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import type { NoticeSource } from "../../notices/model/endpointNotices.js";
import type { NoticeReport } from "../../notices/queries/noticeCodec.js";
import type { EndpointNotice } from "../../ports/endpointProtocol.js";

export function recordNotice(
    { notices, warmth }: Pick<Endpoint, "notices" | "warmth">,
    notice: EndpointNotice,
    source: NoticeSource,
    now: Clocks,
): void {
    notices.record(notice, source, now);
    warmth.recordResponse(notice, now.monotonicMs);
}

export function adoptNotice(
    { notices, warmth }: Pick<Endpoint, "notices" | "warmth">,
    { ageMs, coldness, ...notice }: NoticeReport,
    now: Clocks,
): void {
    if (ageMs !== undefined) {
        notices.adopt({ ...notice, ageMs }, now);
    }
    if (coldness !== undefined) {
        warmth.adopt(coldness, now.monotonicMs);
    }
}
