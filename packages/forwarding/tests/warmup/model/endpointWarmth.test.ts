import bunyan from "bunyan";
import { describe, expect, it } from "vitest";
import { createEndpointWarmth, type EndpointWarmth } from "../../../src/warmup/model/endpointWarmth.js";
import { createWarmupLog } from "../../../src/warmup/model/warmupLog.js";

const policy = { durationMs: 3_000, requestsPerSecond: 26 };

interface Case {
    readonly name: string;
    readonly hasJustStarted?: boolean;
    readonly act?: (warmth: EndpointWarmth) => void;
    /** Times in milliseconds at which the endpoint has to be cold, and at which it has to be warm. */
    readonly cold: readonly number[];
    readonly warm: readonly number[];
}

function createWarmth(hasJustStarted = false, current: typeof policy | undefined = policy): {
    warmth: EndpointWarmth;
    texts: string[];
    changes: string[];
} {
    const texts: string[] = [];
    const changes: string[] = [];
    const stream = { write: (line: Record<string, unknown>) => texts.push(String(line["msg"])) };
    const log = bunyan.createLogger({ name: "test", streams: [{ type: "raw", stream: stream as never }] });
    const warmth = createEndpointWarmth({
        endpointId: "e",
        hasJustStarted,
        nowMs: 0,
        getPolicy: () => current,
        log: createWarmupLog(log),
        onChange: source => changes.push(source),
    });
    return { warmth, texts, changes };
}

const say = (coldRemainingMs: number): { coldRemainingMs: number; } => ({ coldRemainingMs });
const invalid = { invalidCold: "soon" };

const cases: readonly Case[] = [
    // Guards against a whole fleet of endpoints that counts as cold to each host that starts.
    { name: "a process of the first snapshot", cold: [], warm: [0] },
    {
        name: "a process of the first snapshot whose row names a time",
        act: warmth => warmth.recordRow(say(2_000), 0),
        cold: [0, 1_999],
        warm: [2_000],
    },
    // Guards against full load on a process that has just started and whose row does not say so.
    { name: "a process that has just started", hasJustStarted: true, cold: [0, 2_999], warm: [3_000] },
    {
        name: "a process that has just started and whose row names a shorter time",
        hasJustStarted: true,
        act: warmth => warmth.recordRow(say(500), 0),
        cold: [2_999],
        warm: [3_000],
    },
    {
        name: "a process that has just started and whose row says that it is warm",
        hasJustStarted: true,
        act: warmth => warmth.recordRow(say(0), 0),
        cold: [],
        warm: [0],
    },
    {
        name: "a process that has just started and responds that it is warm",
        hasJustStarted: true,
        act: warmth => warmth.recordResponse(say(0), 100),
        cold: [],
        warm: [100],
    },
    {
        name: "a response that names a time",
        act: warmth => warmth.recordResponse(say(800), 100),
        cold: [100, 899],
        warm: [900],
    },
    // Guards against an outdated row that ends what the endpoint itself has just said.
    {
        name: "a row that says warm after a response that says cold",
        act: warmth => {
            warmth.recordResponse(say(2_000), 0);
            warmth.recordRow(say(0), 500);
        },
        cold: [1_999],
        warm: [2_000],
    },
    {
        name: "a later response after a row",
        act: warmth => {
            warmth.recordRow(say(2_000), 0);
            warmth.recordResponse(say(0), 500);
        },
        cold: [],
        warm: [500],
    },
    {
        name: "a row that shortens the time of the one before",
        act: warmth => {
            warmth.recordRow(say(2_000), 0);
            warmth.recordRow(say(100), 1_000);
        },
        cold: [1_099],
        warm: [1_100],
    },
    {
        name: "an endpoint that becomes cold again",
        act: warmth => {
            warmth.recordResponse(say(0), 0);
            warmth.recordResponse(say(1_000), 5_000);
        },
        cold: [5_999],
        warm: [6_000],
    },
    // Guards against all hosts that send to a domain at once because its rows are from before its evacuation.
    {
        name: "an endpoint of a domain that has returned, whatever rows and responses say",
        act: warmth => {
            warmth.markReturned(0);
            warmth.recordRow(say(0), 10);
            warmth.recordResponse(say(0), 20);
        },
        cold: [20, 2_999],
        warm: [3_000],
    },
    {
        name: "a time that a peer was told, less its age",
        act: warmth => warmth.adopt({ remainingMs: 1_000, ageMs: 400 }, 1_000),
        cold: [1_599],
        warm: [1_600],
    },
    {
        name: "an older response that a peer tells",
        act: warmth => {
            warmth.recordResponse(say(0), 900);
            warmth.adopt({ remainingMs: 5_000, ageMs: 400 }, 1_000);
        },
        cold: [],
        warm: [1_000],
    },
    // Guards against one bad value that slows an endpoint down for hours.
    {
        name: "a time that is very large",
        act: warmth => warmth.recordRow(say(1e15), 0),
        cold: [59_999],
        warm: [60_000],
    },
    { name: "a value that is no time", act: warmth => warmth.recordRow(invalid, 0), cold: [], warm: [0] },
    {
        name: "a value that is no time, in a process that has just started",
        hasJustStarted: true,
        act: warmth => warmth.recordRow(invalid, 0),
        cold: [2_999],
        warm: [3_000],
    },
];

describe("createEndpointWarmth", () => {
    it.each(cases)("knows until when $name is cold", ({ hasJustStarted, act, cold, warm }) => {
        const { warmth } = createWarmth(hasJustStarted);
        act?.(warmth);
        cold.forEach(nowMs => expect(warmth.getRate(nowMs)).toBe(26));
        warm.forEach(nowMs => expect(warmth.getRate(nowMs)).toBeUndefined());
    });
    it("knows of no cold endpoint without a policy", () => {
        const warmth = createEndpointWarmth({
            endpointId: "e",
            hasJustStarted: true,
            nowMs: 0,
            getPolicy: () => undefined,
            log: { write: () => expect.unreachable() },
            onChange: () => expect.unreachable(),
        });
        warmth.recordRow(say(5_000), 0);
        warmth.recordResponse(say(5_000), 0);
        expect(warmth.getRate(1)).toBeUndefined();
        expect(warmth.share(1)).toBeUndefined();
    });
    // Guards against a log line for each row and response.
    it("logs an invalid value once, and the begin of a period once", () => {
        const { warmth, texts } = createWarmth();
        for (let nowMs = 0; nowMs < 1_000; nowMs += 100) {
            warmth.recordRow(invalid, nowMs);
            warmth.recordRow(say(2_000), nowMs);
            warmth.recordResponse(say(2_000), nowMs);
        }
        expect(texts).toEqual(["warmup: invalid cold time ignored", "warmup: endpoint is cold"]);
    });
    // Guards against a domain that returns with hundreds of endpoints and fills the log.
    it("writes a limited number of lines", () => {
        const lines: object[] = [];
        const log = createWarmupLog({ info: (fields: object) => lines.push(fields) } as never);
        for (let index = 0; index < 200; index += 1) {
            log.write("info", {}, "endpoint is cold", index);
        }
        expect(lines).toHaveLength(30);
        log.write("info", {}, "endpoint is cold", 20_000);
        expect(lines.at(-1)).toEqual({ omitted: 170 });
    });
    // Guards against two hosts that tell each other the same response, and extend the period each time.
    it("does not become colder by being told to and fro", () => {
        const hosts = [createWarmth().warmth, createWarmth().warmth];
        hosts[0]!.recordResponse(say(1_000), 0);
        for (let nowMs = 1; nowMs < 1_500; nowMs += 1) {
            const shared = hosts[nowMs % 2]!.share(nowMs);
            if (shared !== undefined) {
                hosts[(nowMs + 1) % 2]!.adopt({ ...shared, ageMs: Math.ceil(shared.ageMs) }, nowMs + 1);
            }
        }
        hosts.forEach(host => expect(host.getRemainingMs(1_002)).toBe(0));
    });
    // Guards against messages that list each warm endpoint and leave no room for news.
    it("tells peers that an endpoint is warm only for a time after a cold period", () => {
        const { warmth } = createWarmth();
        warmth.recordResponse(say(0), 0);
        expect(warmth.share(1)).toBeUndefined();
        warmth.recordResponse(say(1_000), 100);
        warmth.recordResponse(say(0), 300);
        warmth.recordResponse(say(0), 3_000);
        expect(warmth.share(3_000)).toEqual({ remainingMs: 0, ageMs: 0 });
        expect(warmth.share(20_000)).toBeUndefined();
    });
    it("tells peers at once when a response begins or ends a period", () => {
        const { warmth, changes } = createWarmth();
        warmth.recordResponse(say(0), 0);
        warmth.recordResponse(say(1_000), 100);
        warmth.recordResponse(say(900), 200);
        warmth.recordResponse(say(0), 300);
        expect(changes).toEqual(["report", "report"]);
        expect(warmth.share(400)).toEqual({ remainingMs: 0, ageMs: 100 });
    });
});
