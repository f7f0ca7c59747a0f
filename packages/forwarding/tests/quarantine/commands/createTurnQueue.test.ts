import { toServiceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { createTurnQueue } from "../../../src/quarantine/commands/createTurnQueue.js";
import type { TrackedAttempt } from "../../../src/quarantine/model/attemptTracker.js";
import { createRequestIdentity } from "../../../src/quarantine/model/requestIdentity.js";

const createAttempt = (target: string): TrackedAttempt => ({
    request: {
        service: toServiceId("s"),
        parts: [],
        identity: createRequestIdentity({ method: "GET", authority: "a", target, body: Buffer.alloc(0) }),
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
        const turns = createTurnQueue({ running, state: { countCrashes: () => crashes } });
        let hasTurn = false;
        const turn = turns.wait(createAttempt(target).request).then(() => {
            hasTurn = true;
        });
        await new Promise(setImmediate);
        expect(hasTurn).toBe(isAdmitted);
        running.delete(copy);
        turns.wake();
        await turn;
        expect(hasTurn).toBe(true);
    });
});
