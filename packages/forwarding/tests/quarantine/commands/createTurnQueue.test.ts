import { toServiceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { createTurnQueue } from "../../../src/quarantine/commands/createTurnQueue.js";
import type { TrackedAttempt } from "../../../src/quarantine/model/attemptTracker.js";
import { createRequestIdentity } from "../../../src/quarantine/model/requestIdentity.js";

const createAttempt = (target: string): TrackedAttempt => ({
    request: {
        service: toServiceId("s"),
        parts: [],
        identity: createRequestIdentity({ method: "GET", host: "a", target, body: Buffer.alloc(0) }),
    },
    abort: () => undefined,
});

describe("createTurnQueue", () => {
    // Guards against copies of a request that end several endpoints at once before it is known to be at fault.
    it.each([
        ["waits for a copy of a request on two crashed endpoints", "/bad", 2, false],
        ["does not wait after one crash", "/bad", 1, true],
        ["does not wait for another request", "/other", 2, true],
    ])("%s", async (_name, target, crashes, isAdmitted) => {
        const copy = createAttempt("/bad");
        const running = new Set([copy]);
        const turns = createTurnQueue({
            running,
            getProofCrashes: () => 3,
            state: { countCrashes: () => crashes },
        });
        let hasTurn = false;
        const turn = turns.wait(createAttempt(target).request).then(() => {
            hasTurn = true;
        });
        await new Promise(setImmediate);
        expect(hasTurn).toBe(isAdmitted);
        running.delete(copy);
        turns.end(copy.request);
        await turn;
        expect(hasTurn).toBe(true);
    });
    // Guards against copies that are all let through when the one before them ends.
    it("gives the turn to one copy after the other", async () => {
        const turns = createTurnQueue({
            running: new Set(),
            getProofCrashes: () => 3,
            state: { countCrashes: () => 2 },
        });
        const copies = [1, 2, 3].map(() => createAttempt("/bad").request);
        const admitted: number[] = [];
        copies.forEach((copy, index) => void turns.wait(copy).then(() => admitted.push(index)));
        await new Promise(setImmediate);
        expect(admitted).toEqual([0]);
        turns.end(copies[0]!);
        await new Promise(setImmediate);
        expect(admitted).toEqual([0, 1]);
    });
    // Guards against copies that go on ending endpoints while it is still being decided whether the request is at fault.
    it("holds a request for which enough crashes are known, until it is cleared", async () => {
        let crashes = 3;
        const turns = createTurnQueue({
            running: new Set(),
            getProofCrashes: () => 3,
            state: { countCrashes: () => crashes },
        });
        let hasTurn = false;
        const turn = turns.wait(createAttempt("/bad").request).then(() => {
            hasTurn = true;
        });
        turns.wake();
        await new Promise(setImmediate);
        expect(hasTurn).toBe(false);
        crashes = 0;
        turns.wake();
        await turn;
        expect(hasTurn).toBe(true);
    });
});
