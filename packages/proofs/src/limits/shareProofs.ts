/** Proof of the guarantee for shares of an entitlement. */
import { checkShares } from "../checkers/checkShares.js";
import { buildScenario } from "../commands/findCounterexample.js";
import type { Proof } from "../model/proof.js";
import { runShares, shareSchedules } from "./runShares.js";

export const shareProofs: readonly Proof[] = [{
    name: "entitlements",
    guarantee: "shares stay within 105% of the entitlement, 125% in a partition (150% until it is noticed)",
    checkerName: "checkShares",
    check: checkShares,
    scenarios: [buildScenario({
        name: "shares",
        covers: "4 hosts; 8 jumps of demand, facts up to 18 s late, 2 partitions or 2 restarts",
        schedules: shareSchedules,
        run: runShares,
    })],
}];
