import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createPermitLedger } from "../../../src/permits/model/permitLedger.js";

const WINDOW_MS = 4_000;
const STEP_MS = 10;
const RUN_MS = 12_000;

/** Most requests in the window that endpoints accept from hosts that know the limit. */
const countAllowed = (requestsPerSecond: number): number => 1.5 * requestsPerSecond * WINDOW_MS / 1_000 + 5;

/** Counts the most grants in any window. */
const countMost = (times: readonly number[]): number =>
    Math.max(0, ...times.map(start => times.filter(time => time >= start && time < start + WINDOW_MS).length));

/** Asks for a permit at each step. `takeoversMs`: another host with an empty ledger begins to grant. */
function listGrants(limitAt: (nowMs: number) => number, takeoversMs: readonly number[] = []): number[] {
    let ledger = createPermitLedger();
    const grants: number[] = [];
    for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
        if (takeoversMs.includes(nowMs)) {
            ledger = createPermitLedger();
        }
        const need = { endpointId: "e", requestsPerSecond: limitAt(nowMs), permitsLeft: 0 };
        if (ledger.grant([need], nowMs).isGranted) {
            grants.push(nowMs);
        }
    }
    return grants;
}

describe("createPermitLedger", () => {
    // Guards against a burst after idle times, or after another host has taken over, that exceeds the limit.
    it("keeps any 4 s within the limit, also while other hosts take over", () => {
        const limits = fc.double({ min: 0.1, max: 60, noNaN: true });
        const takeover = fc.integer({ min: 0, max: RUN_MS / STEP_MS }).map(step => step * STEP_MS);
        fc.assert(
            fc.property(limits, fc.array(takeover, { maxLength: 2 }), (limit, takeovers) => {
                expect(countMost(listGrants(() => limit, takeovers))).toBeLessThanOrEqual(countAllowed(limit));
            }),
            { seed: 25, numRuns: 60 },
        );
    });
    // Guards against permits that accrued at a former, higher limit being granted after it has fallen.
    it.each([
        { name: "falls", limitAt: (nowMs: number) => nowMs < 6_000 ? 20 : 1, after: 1 },
        { name: "rises", limitAt: (nowMs: number) => nowMs < 6_000 ? 1 : 20, after: 20 },
    ])("follows a limit that $name", ({ limitAt, after }) => {
        const grants = listGrants(limitAt).filter(nowMs => nowMs >= 6_000);
        expect(countMost(grants)).toBeLessThanOrEqual(countAllowed(after));
        expect(grants.length).toBeGreaterThanOrEqual(0.9 * after * 6);
    });
    it("grants a low limit over time, not only its first permit", () => {
        const grants = listGrants(() => 0.25);
        expect(grants).toHaveLength(3);
        expect(grants.every((nowMs, index) => nowMs >= 4_000 * index && nowMs <= 4_000 * index + STEP_MS)).toBe(true);
    });
    // Guards against a request from each host of a large fleet at the moment when the host that grants does not answer.
    it("keeps the shares of many hosts within the limit, from the first moment on", () => {
        const hosts = Array.from({ length: 195 }, () => createPermitLedger({ initialPermits: 0 }));
        const need = { endpointId: "e", requestsPerSecond: 1 / hosts.length, permitsLeft: 0 };
        const grants: number[] = [];
        for (let nowMs = 0; nowMs < WINDOW_MS; nowMs += 100) {
            grants.push(...hosts.filter(host => host.grant([need], nowMs).isGranted).map(() => nowMs));
        }
        expect(grants.length).toBeLessThanOrEqual(countAllowed(1));
    });
    // Guards against short prompts taking the last permit, so that a long one delays many on other endpoints.
    it("leaves the last permit to a request that needs it more", () => {
        const ledger = createPermitLedger();
        const need = { endpointId: "e", requestsPerSecond: 1 };
        expect(ledger.grant([{ ...need, permitsLeft: 1 }], 0).isGranted).toBe(false);
        expect(ledger.grant([{ ...need, permitsLeft: 0 }], 0).isGranted).toBe(true);
    });
    it("grants permits of several endpoints together or not at all", () => {
        const ledger = createPermitLedger();
        const [a, b] = ["a", "b"].map(endpointId => ({ endpointId, requestsPerSecond: 1, permitsLeft: 0 }));
        expect(ledger.grant([a!], 0).isGranted).toBe(true);
        expect(ledger.grant([a!, b!], 0).isGranted).toBe(false);
        expect(ledger.grant([b!], 0).isGranted).toBe(true);
    });
});
