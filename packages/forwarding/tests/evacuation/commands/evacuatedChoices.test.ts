/** Where requests go during an evacuation: endpoints without a network, on a paused clock. The host's domain is `a`. */
import { toFailureDomainId } from "@currantrill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startProbing } from "../../../src/endpoints/commands/startProbing.js";
import { markUnresponsive, recordFailure } from "../../../src/endpoints/model/endpointHealth.js";
import { listEndpointObservations } from "../../../src/endpoints/queries/listEndpointObservations.js";
import { selectCandidates } from "../../../src/placement/queries/selectCandidates.js";
import { serveCall } from "../../../src/requests/commands/serveCall.js";
import { serveStream } from "../../../src/requests/commands/serveStream.js";
import { listLoads } from "../../../src/requests/queries/listLoads.js";
import { reserveShardMemory } from "../../../src/reservations/commands/reserveShardMemory.js";
import { directoryService } from "../../directoryFixture.js";
import { createOfflineHost, type OfflineHost, type OfflineOptions, type Reaction } from "../evacuationFixture.js";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

interface Case {
    readonly name: string;
    readonly domains: string;
    /** Domains that are evacuated before the request arrives. */
    readonly before?: readonly string[];
    /** Domains that are evacuated once the connection to the first endpoint is ready, before the first byte. */
    readonly atConnection?: readonly string[];
    /** Domains that are evacuated once the request has reached the first endpoint. */
    readonly afterFirst?: readonly string[];
    readonly reaction?: Reaction;
    readonly options?: Partial<OfflineOptions>;
    readonly kind?: "stream" | "repeatable" | "once";
    /** Endpoints that the request reaches, as a pattern. */
    readonly sent: RegExp;
    readonly status: number;
}

const place = (primaryId: string, helpers: readonly string[] = [], reserveTokens = 0): Partial<OfflineOptions> => ({
    placed: { primaryId, helperShards: helpers.map(endpointId => ({ endpointId, reserveTokens })) },
});

function createHost({ domains, atConnection = [], afterFirst = [], reaction = "answer", options }: Case): OfflineHost {
    let connections = 0;
    let requests = 0;
    const host: OfflineHost = createOfflineHost({
        domains,
        onConnected: () => {
            connections += 1;
            host.evacuate(...connections === 1 ? atConnection : []);
        },
        react: () => {
            requests += 1;
            host.evacuate(...requests === 1 ? afterFirst : []);
            return requests === 1 ? reaction : "answer";
        },
        ...options,
    });
    return host;
}

describe("a request during an evacuation", () => {
    // Each guards against a request that reaches an endpoint of an evacuated domain, or is lost because of the evacuation.
    const cases: readonly Case[] = [
        {
            name: "is placed in another domain in a small fleet",
            domains: "aabb",
            before: ["a"],
            options: { isSmallFleet: true },
            sent: /^e[34]$/,
            status: 200,
        },
        {
            name: "is placed in another domain in a large one",
            domains: "aaab",
            before: ["a"],
            sent: /^e4$/,
            status: 200,
        },
        {
            name: "goes elsewhere than a coordinator says that is behind",
            domains: "aabb",
            before: ["a"],
            options: place("e1"),
            sent: /^e[34]$/,
            status: 200,
        },
        {
            name: "goes elsewhere if a shard is in an evacuated domain",
            domains: "abaa",
            before: ["b"],
            options: place("e1", ["e2"]),
            sent: /^e[134]$/,
            status: 200,
        },
        {
            name: "is not sent if the evacuation comes between the decision and the first byte",
            domains: "aabb",
            atConnection: ["a"],
            options: place("e1"),
            sent: /^e[34]$/,
            status: 200,
        },
        {
            name: "is not sent if that of a shard's domain comes then",
            domains: "abaa",
            atConnection: ["b"],
            options: place("e1", ["e2"]),
            sent: /^e[34]$/,
            status: 200,
        },
        {
            name: "is not sent with a reservation in an evacuated domain",
            domains: "abaa",
            before: ["b"],
            options: place("e1", ["e2"], 100),
            sent: /^e[134]$/,
            status: 200,
        },
        {
            name: "finishes where it runs",
            domains: "aabb",
            afterFirst: ["a"],
            options: place("e1"),
            sent: /^e1$/,
            status: 200,
        },
        {
            name: "gets its second attempt in another domain",
            domains: "aabb",
            afterFirst: ["a"],
            reaction: "break",
            options: place("e1"),
            sent: /^e1,e[34]$/,
            status: 200,
        },
        {
            name: "is hedged in another domain",
            domains: "aabb",
            afterFirst: ["a"],
            reaction: "ignore",
            kind: "repeatable",
            sent: /^e[12],e[34]$/,
            status: 200,
        },
        {
            name: "that runs once goes to another domain",
            domains: "aabb",
            atConnection: ["a"],
            kind: "once",
            sent: /^e[34]$/,
            status: 200,
        },
        {
            name: "is refused at once without a domain left",
            domains: "aabb",
            before: ["a", "b"],
            sent: /^$/,
            status: 503,
        },
        {
            name: "that runs once is refused if the last domain goes before the first byte",
            domains: "aabb",
            atConnection: ["a", "b"],
            kind: "once",
            sent: /^$/,
            status: 503,
        },
        {
            name: "that may have run is not called not run",
            domains: "aabb",
            afterFirst: ["a", "b"],
            reaction: "break",
            kind: "repeatable",
            sent: /^e[12]$/,
            status: 502,
        },
    ];
    it.each(cases)("$name", async case_ => {
        const { kind = "stream", before = [], sent, status } = case_;
        const host = createHost(case_);
        host.evacuate(...before);
        const attempts = kind === "once" ? 1 : 2;
        const exchange = host.createExchange({ kind, canResume: kind === "stream", attempts });
        const served = kind === "stream" ? serveStream(host.context, exchange) : serveCall(host.context, exchange);
        // A hedged attempt begins after 1,200 ms; all others need no time.
        await vi.advanceTimersByTimeAsync(case_.reaction === "ignore" ? 1_300 : 50);
        expect(exchange.replies).toEqual([status]);
        expect(host.sent.join()).toMatch(sent);
        expect(await served).toMatch(status === 200 ? /complete|answered/ : status === 503 ? /evacuated/ : /unknown/);
    });
});

describe("a reservation during an evacuation", () => {
    const startReservation = (onConnected: (host: OfflineHost, target: string) => void) => {
        const host: OfflineHost = createOfflineHost({
            domains: "aabb",
            onConnected: (_id, target) => onConnected(host, target),
        });
        const needs = ["e1", "e3"].map(id => ({ endpoint: host.context.directory.get(id)!, tokens: 100 }));
        return { host, reserved: reserveShardMemory(host.context, needs) };
    };
    // Guards against orders to an evacuated domain, also those that repeat a release for 13 s.
    it("is not ordered if the evacuation comes before the first byte, and the others are released", async () => {
        const { host, reserved } = startReservation(({ evacuate }) => evacuate("a"));
        expect(await reserved).toBeUndefined();
        await vi.advanceTimersByTimeAsync(20_000);
        expect(host.sent).toEqual(["e3/reserve", "e3/release"]);
    });
    // Guards against memory that a request in progress loses, or that is never released.
    it("that was granted before is renewed and released", async () => {
        const { host, reserved } = startReservation(() => undefined);
        const held = await reserved;
        host.evacuate("a");
        await vi.advanceTimersByTimeAsync(600);
        held?.release();
        await vi.advanceTimersByTimeAsync(20_000);
        expect(host.sent.filter(target => target.startsWith("e1"))).toEqual(["e1/reserve", "e1/reserve", "e1/release"]);
    });
});

// Guards against probes that an evacuated domain still gets, and against endpoints that are not probed after its return.
it("suspends the probes of an evacuated domain until it returns", async () => {
    const { context, evacuate, sent } = createOfflineHost({ domains: "aabb" });
    const { directory, evacuations, protocol, log } = context;
    const { isEvacuated } = evacuations;
    evacuate("a");
    const stop = startProbing({ directory, isEvacuated, protocol, log, listMonitored: directory.listAll });
    await vi.advanceTimersByTimeAsync(1_200);
    expect(sent.splice(0)).toEqual(["e3/report", "e4/report"]);
    evacuations.applyRows([{ key: "evacuate/a", version: 2 }]);
    await vi.advanceTimersByTimeAsync(1_200);
    stop();
    expect(sent).toContain("e1/report");
});

// Guards against endpoints of an evacuated domain, which are not probed, that make a host send no observations.
it("leaves endpoints of an evacuated domain out of the observations", () => {
    const { context, evacuate } = createOfflineHost({ domains: "aabb" });
    const { directory, evacuations: { isEvacuated } } = context;
    const [first, second, third] = directory.listAll();
    [first!, second!].forEach(each => void (each.health = markUnresponsive(each.health, 0)));
    third!.health = recordFailure(third!.health, 0);
    expect(listEndpointObservations(directory, isEvacuated, 0)).toEqual([]);
    evacuate("a");
    expect(listEndpointObservations(directory, isEvacuated, 0).map(each => each.endpointId)).toEqual(["e3"]);
});

// Guards against a large fleet that keeps to the local domain, and one that uses outdated loads without need.
it.each([
    { evacuated: [], expected: "12" },
    { evacuated: ["b"], expected: "12" },
    { evacuated: ["a"], expected: "34" },
    { evacuated: ["a", "b"], expected: "" },
])("selects e$expected as candidates while $evacuated are evacuated", ({ evacuated, expected }) => {
    const { context, evacuate } = createOfflineHost({ domains: "aabb" });
    evacuate(...evacuated);
    const selected = selectCandidates(listLoads(context, directoryService, 0), toFailureDomainId("a"));
    expect(selected.map(load => load.id)).toEqual(Array.from(expected, digit => `e${digit}`));
});
