import { toServiceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { createSharedRetryBudget } from "../../../src/retries/model/sharedRetryBudget.js";

const service = toServiceId("s");
const settings = { ratio: 0.2, extra: 100, window_ms: 10_000 };

function countAllowed(hosts: number, requests: number): number {
    const budget = createSharedRetryBudget(() => settings, () => hosts);
    for (let request = 0; request < requests; request += 1) {
        budget.recordRequest(service, request);
    }
    let allowed = 0;
    while (allowed < 10_000 && budget.spend(service, 1_000)) {
        allowed += 1;
    }
    return allowed;
}

describe("createSharedRetryBudget", () => {
    // Guards against more retries over all hosts than the settings allow in a window.
    it.each([
        { hosts: 1, requests: 0 },
        { hosts: 6, requests: 200 },
        { hosts: 79, requests: 20 },
    ])("stays within the allowance of $hosts hosts with $requests requests each", ({ hosts, requests }) => {
        expect(hosts * countAllowed(hosts, requests)).toBeLessThanOrEqual(
            settings.ratio * hosts * requests + settings.extra,
        );
    });
    it("allows retries again after the window", () => {
        const budget = createSharedRetryBudget(() => settings, () => 100);
        expect(budget.spend(service, 0)).toBe(false);
        for (let request = 0; request < 10; request += 1) {
            budget.recordRequest(service, 0);
        }
        expect(budget.spend(service, 1)).toBe(true);
        expect(budget.spend(service, 2)).toBe(true);
        expect(budget.spend(service, 3)).toBe(false);
        budget.recordRequest(service, 10_500);
        expect(budget.spend(service, 10_500)).toBe(false);
    });
});
