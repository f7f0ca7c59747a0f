import bunyan from "bunyan";
import { describe, expect, it } from "vitest";
import { createEndpointNotices, type EndpointNotices } from "../../../src/notices/model/endpointNotices.js";
import { decodeNotice, encodeNotice } from "../../../src/notices/queries/noticeCodec.js";

/** A response that states nothing. */
const silent = { isLeaving: false };

const at = (ms: number): { wallMs: number; monotonicMs: number; } => ({ wallMs: 1_000_000 + ms, monotonicMs: ms });

function createNotices(): { notices: EndpointNotices; logged: Record<string, unknown>[]; changes: string[]; } {
    const logged: Record<string, unknown>[] = [];
    const changes: string[] = [];
    const log = bunyan.createLogger({
        name: "test",
        streams: [{ type: "raw", stream: { write: (line: Record<string, unknown>) => logged.push(line) } as never }],
    });
    const notices = createEndpointNotices({ endpointId: "e", log, onChange: source => changes.push(source) });
    return { notices, logged, changes };
}

describe("createEndpointNotices", () => {
    it.each([
        { name: "a limit", requestsPerSecond: 2.5, expected: 2.5 },
        { name: "no limit", requestsPerSecond: undefined, expected: undefined },
        { name: "zero, of which a rare request finds out whether it still holds", requestsPerSecond: 0, expected: 0.1 },
        { name: "a limit that nobody reaches", requestsPerSecond: 1e9, expected: undefined },
    ])("handles $name", ({ requestsPerSecond, expected }) => {
        const { notices } = createNotices();
        notices.record(
            { ...silent, ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }) },
            "request",
            at(0),
        );
        expect(notices.getRateLimit(at(1))).toBe(expected);
    });
    // Guards against a malformed value ending a limit, and against a log line for each response with one.
    it("keeps the limit at an invalid value, which is logged once", () => {
        const { notices, logged } = createNotices();
        notices.record({ ...silent, requestsPerSecond: 2 }, "request", at(0));
        notices.record({ ...silent, invalidLimit: "many" }, "request", at(1));
        notices.record({ ...silent, invalidLimit: "many" }, "request", at(2));
        expect(notices.getRateLimit(at(3))).toBe(2);
        expect(logged.filter(line => line["msg"] === "endpoints: invalid rate limit ignored")).toHaveLength(1);
    });
    it.each([
        { name: "a later limit of a peer", own: 2, told: { requestsPerSecond: 3, ageMs: 50 }, expected: 3 },
        { name: "the later end of a limit", own: 2, told: { ageMs: 50 }, expected: undefined },
        { name: "its own response if it is later", own: 2, told: { requestsPerSecond: 3, ageMs: 500 }, expected: 2 },
    ])("follows $name", ({ own, told, expected }) => {
        const { notices } = createNotices();
        notices.record({ ...silent, requestsPerSecond: own }, "request", at(0));
        notices.adopt(told, at(100));
        expect(notices.getRateLimit(at(100))).toBe(expected);
    });
    // Guards against a host that was suspended passing on an old limit as a new one: only its wall clock has moved.
    it("counts the time of a suspension as age", () => {
        const { notices } = createNotices();
        notices.record({ ...silent, requestsPerSecond: 2 }, "request", at(0));
        expect(notices.share({ wallMs: 1_000_000 + 7_000, monotonicMs: 1 })).toEqual({
            requestsPerSecond: 2,
            ageMs: 7_000,
        });
    });
    // Guards against a response that was sent earlier, and arrives later, taking back that the endpoint leaves.
    it("keeps that an endpoint leaves, tells other hosts, and forgets it after a time", () => {
        const { notices, changes } = createNotices();
        notices.record({ isLeaving: true }, "request", at(0));
        notices.record(silent, "request", at(10));
        expect(notices.isLeaving(at(20))).toBe(true);
        expect(notices.share(at(30_000))).toEqual({ ageMs: 29_990, leavingAgeMs: 30_000 });
        expect(notices.isLeaving(at(61_000))).toBe(false);
        expect(changes).toEqual(["request"]);
    });
    it.each([
        { leavingAgeMs: 100, expected: true },
        { leavingAgeMs: 70_000, expected: false },
    ])("adopts that an endpoint left $leavingAgeMs ms ago: $expected", ({ leavingAgeMs, expected }) => {
        const { notices } = createNotices();
        notices.adopt({ ageMs: leavingAgeMs, leavingAgeMs }, at(0));
        expect(notices.isLeaving(at(0))).toBe(expected);
    });
    it.each([
        { name: "for the time that it states", pauseMs: 2_000, afterMs: 500, expected: 1_500 },
        { name: "not after that time", pauseMs: 2_000, afterMs: 2_500, expected: 0 },
        { name: "for a minute at most", pauseMs: 1e12, afterMs: 0, expected: 60_000 },
    ])("pauses $name", ({ pauseMs, afterMs, expected }) => {
        const { notices, changes } = createNotices();
        notices.record({ ...silent, pauseMs }, "request", at(0));
        expect(notices.getPauseMs(at(afterMs))).toBe(expected);
        expect(changes).toEqual([]);
    });
    // Guards against messages that list each endpoint which states nothing.
    it("tells other hosts nothing of an endpoint that has never named a limit", () => {
        const { notices } = createNotices();
        notices.record(silent, "request", at(0));
        expect(notices.share(at(1))).toBeUndefined();
    });
    it("tells other hosts the end of a limit for a time, and forgets a limit that no response names any more", () => {
        const { notices, changes } = createNotices();
        notices.record({ ...silent, requestsPerSecond: 2 }, "report", at(0));
        expect(notices.getRateLimit(at(59_000))).toBe(2);
        expect(notices.getRateLimit(at(61_000))).toBeUndefined();
        notices.record(silent, "request", at(62_000));
        expect(notices.share(at(63_000))).toEqual({ ageMs: 1_000 });
        expect(notices.share(at(80_000))).toBeUndefined();
        expect(changes).toEqual(["report", "request"]);
    });
    it.each([
        { endpointId: "e", processStartedAtMs: 5, requestsPerSecond: 1.5, ageMs: 20 },
        { endpointId: "e", processStartedAtMs: 5, ageMs: 20 },
        { endpointId: "e", processStartedAtMs: 5, ageMs: 20, leavingAgeMs: 30 },
    ])("survives its encoding: %j", notice => {
        expect(decodeNotice(encodeNotice(notice))).toEqual(notice);
    });
});
