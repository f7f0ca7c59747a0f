import { toServiceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import type { QuarantineEntry } from "../../../src/quarantine/model/quarantineEntry.js";
import { createQuarantineState, type QuarantineState } from "../../../src/quarantine/model/quarantineState.js";
import { createRequestIdentity } from "../../../src/quarantine/model/requestIdentity.js";
import { type SuspectId, toPartSuspect, toRequestSuspect } from "../../../src/quarantine/model/suspect.js";
import type { TrackedRequest } from "../../../src/quarantine/model/trackedRequest.js";
import { decodeEvidence, encodeEvidence } from "../../../src/quarantine/queries/evidenceCodec.js";

const service = toServiceId("pool");
const FORGET_MS = 60_000;

interface TestHost {
    readonly state: QuarantineState;
    readonly entries: QuarantineEntry[];
    readonly forgotten: QuarantineEntry[];
    news: number;
}

function createHost(): TestHost {
    const host: TestHost = {
        entries: [],
        forgotten: [],
        news: 0,
        state: createQuarantineState({
            getSettings: () => ({ crashes: 3, retry_after_ms: 30_000, forget_after_ms: FORGET_MS }),
            onEntry: entry => host.entries.push(entry),
            onForgotten: entry => host.forgotten.push(entry),
            onNews: () => {
                host.news += 1;
            },
        }),
    };
    return host;
}

/** Reports a crash of an endpoint while the response to a prompt with the parts had begun. */
const crash = ({ state }: TestHost, endpointId: string, atMs: number, parts: readonly string[]): void =>
    state.recordCrash(
        {
            endpointId,
            processStartedAtMs: 1,
            service,
            crashedAtMs: atMs,
            begunParts: parts.map(toPartSuspect),
            waitingParts: [],
            requests: [],
        },
        atMs,
    );

/** Sends what a host knows to another one, whose monotonic clock is ahead by `offsetMs`. */
const send = (from: TestHost, to: TestHost, nowMs: number, offsetMs = 0): void => {
    const row = encodeEvidence(from.state.share(nowMs), nowMs);
    if (row !== null) {
        to.state.merge(decodeEvidence(row, nowMs + offsetMs), nowMs + offsetMs);
    }
};

/** Creates a request whose prompt has the parts. */
const createRequest = (target: string, parts: readonly string[] = [], body = "{}"): TrackedRequest => ({
    service,
    parts: parts.map(toPartSuspect),
    identity: createRequestIdentity({ method: "POST", host: "a", target, body: Buffer.from(body) }),
});

const toSuspect = ({ identity }: TrackedRequest): SuspectId => toRequestSuspect(identity.getDigest());

/** Reports a crash of an endpoint while it ran a request without shared parts, which was sent 20 ms before. */
const crashUnder = ({ state }: TestHost, endpointId: string, atMs: number, request: TrackedRequest): void =>
    state.recordCrash({
        endpointId,
        processStartedAtMs: 1,
        service,
        crashedAtMs: atMs,
        begunParts: [],
        waitingParts: [],
        requests: [{ suspect: toSuspect(request), sentAtMs: atMs - 20 }],
    }, atMs);

const isolate = (host: TestHost): void => [0, 400, 800].forEach(atMs => crash(host, `e${atMs}`, atMs, ["bad"]));

describe("createQuarantineState", () => {
    // Guards against evidence that each host keeps to itself: no two such prompts meet at one host.
    it("finds the part from crashes that different hosts have seen", () => {
        const hosts = [createHost(), createHost(), createHost()] as const;
        hosts.forEach((host, index) => crash(host, `e${index}`, index * 400, ["common", "bad"]));
        expect(hosts.flatMap(host => host.entries)).toEqual([]);
        send(hosts[0], hosts[2], 810, 7_000_000);
        hosts[2].state.merge(hosts[1].state.share(810), 810);
        crash(hosts[1], "e3", 1_200, ["common", "bad"]);
        send(hosts[0], hosts[1], 1_210);
        hosts[1].state.merge(hosts[2].state.share(1_210), 1_210);
        expect(hosts[1].state.findIsolated(service, [toPartSuspect("bad")])?.isIsolated).toBe(true);
    });
    // Guards against the blame of a part that is answered on other hosts only.
    it("acquits a part that another host announces as answered", () => {
        const [first, second] = [createHost(), createHost()];
        crash(first, "e0", 0, ["popular"]);
        crash(first, "e1", 400, ["popular"]);
        send(first, second, 410);
        second.state.recordAnswer(createRequest("/p", ["popular"]), "part", 450);
        send(second, first, 460);
        crash(first, "e2", 800, ["popular"]);
        expect(first.entries).toEqual([]);
        expect(first.state.isSuspect(service, [toPartSuspect("popular")], 800)).toBe(false);
    });
    // Guards against a proof by one crash that many hosts have seen.
    it("counts a crash once that several hosts report", () => {
        const [first, second] = [createHost(), createHost()];
        [first, second].forEach(host => crash(host, "e0", 0, ["bad"]));
        crash(first, "e1", 400, ["bad"]);
        send(second, first, 410);
        expect(first.entries).toEqual([]);
    });
    // Guards against second attempts of the prompts at fault, and against the suspicion of others.
    it("suspects a part after two crashes", () => {
        const host = createHost();
        crash(host, "e0", 0, ["bad"]);
        expect(host.state.isSuspect(service, [toPartSuspect("bad")], 1)).toBe(false);
        crash(host, "e1", 400, ["bad"]);
        expect(host.state.isSuspect(service, [toPartSuspect("bad")], 401)).toBe(true);
        expect(host.state.isSuspect(service, [toPartSuspect("other")], 401)).toBe(false);
        expect(host.state.isSuspect(toServiceId("other"), [toPartSuspect("bad")], 401)).toBe(false);
    });
    // Guards against prompts that are given up because a rack fails with several of them on its endpoints.
    it("does not suspect a part that waits on endpoints which crash at the same moment", () => {
        const host = createHost();
        ["e0", "e1", "e2"].forEach((endpointId, index) =>
            host.state.recordCrash(
                {
                    endpointId,
                    processStartedAtMs: 1,
                    service,
                    crashedAtMs: index,
                    begunParts: [],
                    waitingParts: [toPartSuspect("popular")],
                    requests: [],
                },
                index,
            )
        );
        expect(host.state.isSuspect(service, [toPartSuspect("popular")], 3)).toBe(false);
    });
    // Guards against a host that has just started, or was cut off, and pays for the same knowledge again.
    it("adopts the entries of a peer, and releases what the peer has released", () => {
        const [first, second] = [createHost(), createHost()];
        isolate(first);
        send(first, second, 40_000);
        const [entry] = second.entries;
        expect(entry).toMatchObject({ suspect: "bad", isIsolated: true });
        first.state.change(first.entries[0]!, { isIsolated: false, changedAtMs: 41_000 });
        send(first, second, 41_000);
        expect(second.state.findIsolated(service, [toPartSuspect("bad")])).toBeUndefined();
        // An older message that arrives late changes nothing.
        second.state.merge({ reports: [], answers: [], entries: [entry!] }, 41_001);
        expect(second.state.findIsolated(service, [toPartSuspect("bad")])).toBeUndefined();
    });
    // Guards against a part that is never found again, or is isolated again by its old crashes.
    it("isolates a released part again after further crashes, not by those before", () => {
        const host = createHost();
        isolate(host);
        host.state.change(host.entries[0]!, { isIsolated: false, changedAtMs: 5_000 });
        host.state.sweep(5_001);
        expect(host.state.findIsolated(service, [toPartSuspect("bad")])).toBeUndefined();
        [6_000, 6_400, 6_800].forEach(atMs => crash(host, `f${atMs}`, atMs, ["bad"]));
        expect(host.state.findIsolated(service, [toPartSuspect("bad")])?.revision).toBe(3);
    });
    // Guards against entries that stay for ever because hosts pass them on to each other.
    it("forgets an entry that has not changed for long, and ignores it from peers", () => {
        const [first, second] = [createHost(), createHost()];
        isolate(first);
        const shared = first.state.share(900);
        first.state.sweep(801 + FORGET_MS);
        expect(first.forgotten).toHaveLength(1);
        second.state.merge({ ...shared, reports: [] }, 801 + FORGET_MS);
        expect(second.entries).toEqual([]);
    });
    // Guards against state that grows with the number of crashes.
    it("keeps and shares a bounded number of crashes, parts and entries", () => {
        const host = createHost();
        for (let index = 0; index < 200; index += 1) {
            crash(host, `e${index}`, index * 400, Array.from({ length: 100 }, (_, part) => `p${index}-${part}`));
        }
        for (let index = 0; index < 80; index += 1) {
            [0, 400, 800].forEach(atMs => crash(host, `f${index}-${atMs}`, 500_000 + index + atMs, [`bad${index}`]));
        }
        const shared = host.state.share(501_000);
        expect(host.state.list().length).toBeLessThanOrEqual(64);
        expect(shared.reports.length).toBeLessThanOrEqual(16);
        expect(shared.answers.length).toBeLessThanOrEqual(128);
    });
    // Guards against hosts that tell each other the same answer, and take it for a later one each time.
    it("does not make an answer later by telling it back and forth", () => {
        const [first, second] = [createHost(), createHost()];
        first.state.recordAnswer(createRequest("/p", ["bad"]), "part", 0);
        crash(first, "e0", 100, ["bad"]);
        for (let nowMs = 110; nowMs < 4_000; nowMs += 20) {
            send(first, second, nowMs, 8);
            const row = encodeEvidence(second.state.share(nowMs + 8), nowMs + 8)!;
            first.state.merge(decodeEvidence(row, nowMs + 16), nowMs + 16);
        }
        expect(first.state.share(4_000).answers[0]!.lastAtMs).toBeLessThan(50);
    });
    // Guards against repeats of a request that meet at no host: each one pays for the same knowledge.
    it("finds a whole request from crashes that different hosts have seen, whose clocks differ", () => {
        const hosts = [createHost(), createHost(), createHost()] as const;
        const offsetMs = 7_000_000;
        crashUnder(hosts[0], "e0", 0, createRequest("/bad"));
        crashUnder(hosts[1], "e1", 100, createRequest("/bad"));
        crashUnder(hosts[2], "e2", 200 + offsetMs, createRequest("/bad"));
        send(hosts[0], hosts[2], 210, offsetMs);
        expect(hosts[2].entries).toEqual([]);
        send(hosts[1], hosts[2], 210, offsetMs);
        hosts[2].state.sweep(800 + offsetMs);
        expect(hosts[2].state.findIsolated(service, hosts[2].state.listSuspects(createRequest("/bad")))).toMatchObject({
            suspect: toSuspect(createRequest("/bad")),
            isIsolated: true,
        });
        send(hosts[2], hosts[0], 820 + offsetMs, -offsetMs);
        const isIsolated = (request: TrackedRequest): boolean =>
            hosts[0].state.findIsolated(service, hosts[0].state.listSuspects(request)) !== undefined;
        expect([createRequest("/bad"), createRequest("/other"), createRequest("/bad", [], "[]")].map(isIsolated))
            .toEqual(
                [true, false, false],
            );
    });
    // Guards against popular requests that are refused because endpoints crash by themselves under them.
    it("forgets the crashes under a request that any host has seen answered since", () => {
        const [first, second] = [createHost(), createHost()];
        const popular = createRequest("/popular");
        [0, 100].forEach(atMs => crashUnder(first, `e${atMs}`, atMs, popular));
        expect(first.state.countCrashes(popular)).toBe(2);
        send(first, second, 110);
        second.state.recordAnswer(popular, "request", 400);
        send(second, first, 410);
        expect(first.state.countCrashes(popular)).toBe(0);
        crashUnder(first, "e900", 900, popular);
        expect(first.state.countCrashes(popular)).toBe(1);
        expect(first.entries).toEqual([]);
    });
    // Guards against hashing of large bodies while nothing is suspected, or only another request is.
    it("reads the body of a request only if a suspected one has the same head", () => {
        const host = createHost();
        const body = Buffer.from("{}");
        let reads = 0;
        const counted = new Proxy(body, {
            get: (target, key) => {
                reads += key === "length" ? 0 : 1;
                return Reflect.get(target, key) as unknown;
            },
        });
        const large: TrackedRequest = {
            service,
            parts: [],
            identity: createRequestIdentity({ method: "POST", host: "a", target: "/large", body: counted }),
        };
        expect(host.state.listSuspects(large)).toEqual([]);
        crashUnder(host, "e0", 0, createRequest("/bad"));
        expect(host.state.listSuspects(large)).toEqual([]);
        host.state.recordAnswer(large, "request", 10);
        expect(reads).toBe(0);
    });
    // Guards against a request that ends the endpoints of each service to which its route is moved, and against the blame
    // of one that another service answers.
    it("isolates a whole request in services that have not answered it", () => {
        const host = createHost();
        const bad = createRequest("/bad");
        const elsewhere = { ...bad, service: toServiceId("new") };
        const findElsewhere = (): QuarantineEntry | undefined =>
            host.state.findIsolated(elsewhere.service, host.state.listSuspects(elsewhere));
        [0, 100, 200].forEach(atMs => crashUnder(host, `e${atMs}`, atMs, bad));
        host.state.sweep(800);
        expect(findElsewhere()).toMatchObject({ service, suspect: toSuspect(bad) });
        host.state.recordAnswer(elsewhere, "request", 300);
        expect(findElsewhere()).toBeUndefined();
        expect(host.state.findIsolated(service, host.state.listSuspects(bad))).toBeDefined();
    });
    // Guards against messages that grow with the number of requests on endpoints that crash.
    it("keeps and shares a bounded number of requests for each crash", () => {
        const host = createHost();
        for (let index = 0; index < 100; index += 1) {
            crashUnder(host, "e0", 0, createRequest(`/r${index}`));
        }
        expect(host.state.share(10).reports.map(report => report.requests.length)).toEqual([16]);
    });
});
