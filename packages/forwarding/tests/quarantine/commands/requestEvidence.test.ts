import { toServiceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { parseHostName } from "../../../src/configuration/queries/matchRoute.js";
import { encodeMessage } from "../../../src/peers/queries/messageCodec.js";
import { type AttemptRegistry, createAttemptRegistry } from "../../../src/quarantine/commands/createAttemptRegistry.js";
import { createTurnQueue } from "../../../src/quarantine/commands/createTurnQueue.js";
import type { TrackedAttempt } from "../../../src/quarantine/model/attemptTracker.js";
import { getTrialAtMs, type QuarantineEntry } from "../../../src/quarantine/model/quarantineEntry.js";
import { createQuarantineState, type QuarantineState } from "../../../src/quarantine/model/quarantineState.js";
import { createRequestIdentity } from "../../../src/quarantine/model/requestIdentity.js";
import { type SuspectId, toPartSuspect, toRequestSuspect } from "../../../src/quarantine/model/suspect.js";
import type { TrackedRequest } from "../../../src/quarantine/model/trackedRequest.js";
import { decodeEvidence, encodeEvidence } from "../../../src/quarantine/queries/evidenceCodec.js";

const service = toServiceId("pool");
const FORGET_MS = 1_800_000;

const createState = (): QuarantineState =>
    createQuarantineState({
        getSettings: () => ({ crashes: 3, retry_after_ms: 30_000, forget_after_ms: FORGET_MS }),
        onEntry: () => undefined,
        onForgotten: () => undefined,
        onNews: () => undefined,
    });

const createRequest = (target: string): TrackedRequest => ({
    service,
    parts: [],
    identity: createRequestIdentity({ method: "GET", host: "a", target, body: Buffer.alloc(0) }),
});

const toSuspect = ({ identity }: TrackedRequest): SuspectId => toRequestSuspect(identity.getDigest());

interface CrashTimes {
    readonly crashedAtMs: number;
    readonly sentAtMs: number;
}

const crashUnder = (
    state: QuarantineState,
    endpointId: string,
    { crashedAtMs, sentAtMs }: CrashTimes,
    request: TrackedRequest,
): void =>
    state.recordCrash({
        endpointId,
        processStartedAtMs: 1,
        service,
        crashedAtMs,
        begunParts: [],
        waitingParts: [],
        requests: [{ suspect: toSuspect(request), sentAtMs }],
    }, crashedAtMs);

/** Lets the time pass in which copies in progress could be answered. */
const settleEvidence = (state: QuarantineState, lastCrashMs: number): void => state.sweep(lastCrashMs + 600);

/** Sends what a host knows to another one, whose clock is the same, with a delay. */
const send = (from: QuarantineState, to: QuarantineState, nowMs: number, delayMs: number): void => {
    const row = encodeEvidence(from.share(nowMs), nowMs);
    if (row !== null) {
        to.merge(decodeEvidence(row, nowMs + delayMs), nowMs + delayMs);
    }
};

const findIsolated = (state: QuarantineState, request: TrackedRequest): QuarantineEntry | undefined =>
    state.findIsolated(request.service, state.listSuspects(request));

const createAttempt = (request: TrackedRequest): TrackedAttempt => ({ request, abort: () => undefined });

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

describe("evidence of whole requests", () => {
    // Guards against a popular request that is isolated because a service ends as a whole: each message between hosts
    // makes the time at which its attempts were sent later, until they seem to have been sent after the crashes.
    it("does not make an attempt later by telling it back and forth", () => {
        const [first, second] = [createState(), createState()];
        const popular = createRequest("/popular");
        ["e0", "e1", "e2"].forEach((id, index) =>
            crashUnder(first, id, { crashedAtMs: index, sentAtMs: index - 20 }, popular)
        );
        expect(findIsolated(first, popular)).toBeUndefined();
        for (let nowMs = 10; nowMs < 4_000; nowMs += 250) {
            send(first, second, nowMs, 8);
            send(second, first, nowMs + 8, 8);
            [first, second].forEach(state => state.sweep(nowMs + 20));
        }
        const [report] = first.share(4_000).reports;
        expect([findIsolated(first, popular), findIsolated(second, popular)]).toEqual([undefined, undefined]);
        expect(report!.requests[0]!.sentAtMs).toBeLessThanOrEqual(report!.crashedAtMs);
    });
    // Guards against the same blame by a single message that a busy host reads late.
    it("does not count attempts at endpoints that end together as several because a message is late", () => {
        const [first, second] = [createState(), createState()];
        const popular = createRequest("/popular");
        ["e0", "e1", "e2"].forEach((id, index) =>
            crashUnder(first, id, { crashedAtMs: index, sentAtMs: index - 20 }, popular)
        );
        send(first, second, 10, 60);
        send(first, second, 510, 1);
        second.sweep(520);
        expect(findIsolated(second, popular)).toBeUndefined();
    });
    // Guards against an endpoint that is back under the same id while the store does not tell its new start.
    it("counts a crash under a request that was sent after an earlier crash of the same endpoint", () => {
        const state = createState();
        const bad = createRequest("/bad");
        [0, 4_000, 8_000, 12_000].forEach(atMs =>
            crashUnder(state, "e0", { crashedAtMs: atMs, sentAtMs: atMs - 20 }, bad)
        );
        settleEvidence(state, 12_000);
        expect(findIsolated(state, bad)).toBeDefined();
    });
    // Guards against a request that is never found because endpoints run many others as well.
    it("finds a request that is reported last for each of the endpoints that it crashes", () => {
        const state = createState();
        const bad = createRequest("/bad");
        for (let round = 0; round < 8; round += 1) {
            const atMs = round * 1_000;
            for (let other = 0; other < 16; other += 1) {
                crashUnder(
                    state,
                    `e${round}`,
                    { crashedAtMs: atMs, sentAtMs: atMs - 20 },
                    createRequest(`/r${round}-${other}`),
                );
            }
            crashUnder(state, `e${round}`, { crashedAtMs: atMs, sentAtMs: atMs - 20 }, bad);
        }
        settleEvidence(state, 7_000);
        expect(findIsolated(state, bad)).toBeDefined();
    });
    // Guards against a trial after the last one: the entry is dropped up to one sweep after the trial is due.
    it("has no trial due before its entry is dropped", () => {
        const times = { retryAfterMs: 30_000, forgetAfterMs: FORGET_MS };
        const entry = {
            service,
            suspect: toSuspect(createRequest("/bad")),
            revision: 3,
            isIsolated: true,
            changedAtMs: 0,
            trials: 2,
        };
        const state = createState();
        state.merge({ reports: [], answers: [], entries: [entry] }, 1);
        state.sweep(FORGET_MS);
        const isStillIsolated = state.list().length > 0;
        expect(isStillIsolated && FORGET_MS >= getTrialAtMs(entry, times)).toBe(false);
    });
    // Guards against a request that stays refused on the other hosts after the service to which its route was moved has
    // answered a trial of it.
    it("is released everywhere by a trial that another service answers", () => {
        const [first, second] = [createState(), createState()];
        const request = createRequest("/moved");
        [0, 100, 200].forEach(atMs =>
            crashUnder(first, `e${atMs}`, { crashedAtMs: atMs, sentAtMs: atMs - 20 }, request)
        );
        settleEvidence(first, 200);
        send(first, second, 810, 1);
        const moved = { ...request, service: toServiceId("new") };
        const entry = findIsolated(first, moved)!;
        expect(findIsolated(second, moved)).toBeDefined();
        first.change(entry, { changedAtMs: 3_300, trials: 1 });
        const registry: AttemptRegistry = createAttemptRegistry(first, () => 3);
        const trial = findIsolated(first, moved)!;
        registry.track({ ...createAttempt(moved), trial }).recordSoundAnswer();
        expect(findIsolated(first, moved)).toBeUndefined();
        send(first, second, 3_410, 1);
        expect(findIsolated(second, moved)).toBeUndefined();
    });
});

describe("a request that one of two services answers", () => {
    // Guards against the refusal of a request by the sound one of two releases between which a route is split: answers
    // that came before the first crash are not remembered, and those of other hosts are not announced.
    it.each([
        ["before the crashes", true],
        ["after them, at another host", false],
    ])("is not refused there: %s", (_name, isBefore) => {
        const [first, second] = [createState(), createState()];
        const bad = createRequest("/split");
        const sound = { ...bad, service: toServiceId("stable") };
        if (isBefore) {
            first.recordAnswer(sound, "request", -10);
        }
        crashUnder(first, "e0", { crashedAtMs: 0, sentAtMs: -20 }, bad);
        send(first, second, 10, 1);
        if (!isBefore) {
            second.recordAnswer(sound, "request", 50);
            send(second, first, 60, 1);
        }
        [100, 200].forEach(atMs => crashUnder(first, `e${atMs}`, { crashedAtMs: atMs, sentAtMs: atMs - 20 }, bad));
        settleEvidence(first, 200);
        expect(findIsolated(first, bad)).toBeDefined();
        expect(findIsolated(first, sound)).toBeUndefined();
    });
});

describe("the identity of a request", () => {
    // Guards against evidence that does not meet: the same route is found with and without the port of a host.
    it("is the same for all ports with which callers name the host", () => {
        const [first, second] = ["desk.example", "desk.example:8001"].map(header =>
            createRequestIdentity({ method: "GET", host: parseHostName(header), target: "/bad", body: Buffer.alloc(0) })
                .getDigest()
        );
        expect(second).toBe(first);
    });
});

describe("copies of a request on two crashed endpoints", () => {
    // Guards against copies that end an endpoint each: all that wait are let through by the end of one.
    it("get their turns one after the other", async () => {
        const copies = [0, 1, 2, 3].map(() => createAttempt(createRequest("/bad")));
        const running = new Set([copies[0]!]);
        const turns = createTurnQueue({ running, getProofCrashes: () => 3, state: { countCrashes: () => 2 } });
        const admitted: TrackedAttempt[] = [];
        copies.slice(1).forEach(copy =>
            void turns.wait(copy.request).then(() => {
                admitted.push(copy);
                // As in `startNextAttempt`: an endpoint is chosen before the attempt is tracked.
                queueMicrotask(() => queueMicrotask(() => running.add(copy)));
            })
        );
        await settle();
        expect(admitted).toHaveLength(0);
        running.delete(copies[0]!);
        turns.end(copies[0]!.request);
        await settle();
        expect(admitted).toHaveLength(1);
    });
    // Guards against sound requests that wait for a copy on a silent endpoint although another host has had an answer.
    it("are let through once another host announces an answer", async () => {
        const state = createState();
        const popular = createRequest("/popular");
        const nowMs = performance.now();
        [0, 1].forEach(index =>
            crashUnder(state, `e${index}`, { crashedAtMs: nowMs + index, sentAtMs: nowMs - 20 }, popular)
        );
        const registry = createAttemptRegistry(state, () => 3);
        registry.track(createAttempt(popular));
        let hasTurn = false;
        void registry.waitForTurn({ ...popular }).then(() => {
            hasTurn = true;
        });
        await settle();
        expect(hasTurn).toBe(false);
        state.merge(
            {
                reports: [],
                answers: [{ service, suspect: toSuspect(popular), count: 1, lastAtMs: nowMs + 500 }],
                entries: [],
            },
            nowMs + 500,
        );
        expect(state.countCrashes(popular)).toBe(0);
        // As the sweep of the quarantine does.
        registry.wake();
        await new Promise(resolve => setTimeout(resolve, 300));
        expect(hasTurn).toBe(true);
    });
});

describe("messages about crashes", () => {
    // Guards against datagrams that cannot be sent, so that a host seems to be gone to its peers.
    it.each([12, 64])("stay below the limit of a datagram with parts of %d characters", partLength => {
        const state = createState();
        for (let crash = 0; crash < 16; crash += 1) {
            const parts = Array.from(
                { length: 32 },
                (_, part) => toPartSuspect(`c${crash}p${part}`.padEnd(partLength, "x")),
            );
            const requests = Array.from({ length: 16 }, (_, index) => ({
                suspect: toSuspect(createRequest(`/r${crash}-${index}`)),
                sentAtMs: 0,
            }));
            state.recordCrash({
                endpointId: `i-000000000${crash}`,
                processStartedAtMs: 1_780_000_000_000,
                service,
                crashedAtMs: 100,
                begunParts: parts,
                waitingParts: parts.map(part => toPartSuspect(part.replace("c", "w"))),
                requests,
            }, 100);
        }
        state.merge({
            reports: [],
            answers: [],
            entries: Array.from({ length: 64 }, (_, index) => ({
                service,
                suspect: toSuspect(createRequest(`/e${index}`)),
                revision: 1,
                isIsolated: true,
                changedAtMs: 0,
                trials: 0,
            })),
        }, 100);
        const bytes = encodeMessage("state", [encodeEvidence(state.share(200), 200)]).length;
        expect(bytes).toBeLessThan(60_000);
    });
});
