import type { Clocks } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { createCoordinatorReadiness } from "../../../src/coordination/model/coordinatorReadiness.js";

const at = (monotonicMs: number, wallMs = monotonicMs): Clocks => ({ monotonicMs, wallMs });

/** Checks every 250 ms, from a time to another one. */
function checkBetween(readiness: ReturnType<typeof createCoordinatorReadiness>, fromMs: number, toMs: number): void {
    for (let ms = fromMs; ms <= toMs; ms += 250) {
        readiness.check(true, at(ms));
    }
}

describe("createCoordinatorReadiness", () => {
    // Guards against placements by a host that does not know the assignments of its domain yet.
    it("is ready once all hosts of the domain have sent their state", () => {
        const readiness = createCoordinatorReadiness();
        expect(readiness.isReady(at(0))).toBe(false);
        checkBetween(readiness, 0, 500);
        expect(readiness.isReady(at(600))).toBe(false);
        checkBetween(readiness, 750, 1_000);
        expect(readiness.isReady(at(1_100))).toBe(true);
        readiness.check(false, at(1_250));
        expect(readiness.isReady(at(1_300))).toBe(false);
    });
    // Guards against a process that decides by outdated knowledge after a pause, and around a hand-over.
    it.each([
        { name: "paused", resumed: at(5_000) },
        { name: "suspended, which stops its monotonic clock", resumed: at(1_050, 5_000) },
    ])("is not ready after it was $name, until it has heard of all hosts again", ({ resumed }) => {
        const readiness = createCoordinatorReadiness();
        checkBetween(readiness, 0, 1_000);
        expect(readiness.isReady(resumed)).toBe(false);
        readiness.check(true, resumed);
        expect(readiness.isReady(at(resumed.monotonicMs + 200, resumed.wallMs + 200))).toBe(false);
        for (let ms = 250; ms <= 1_000; ms += 250) {
            readiness.check(true, at(resumed.monotonicMs + ms, resumed.wallMs + ms));
        }
        expect(readiness.isReady(at(resumed.monotonicMs + 1_000, resumed.wallMs + 1_000))).toBe(true);
    });
});
