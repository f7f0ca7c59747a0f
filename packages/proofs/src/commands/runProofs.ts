/** Runs the proofs and reports one row for each guarantee. */
import { callProofs } from "../calls/callProofs.js";
import { clusterProofs } from "../cluster/clusterProofs.js";
import { shareProofs } from "../limits/shareProofs.js";
import { memoryProofs } from "../memory/memoryProofs.js";
import type { Proof, SafeguardOverrides } from "../model/proof.js";
import { streamProofs } from "../streams/streamProofs.js";

/** How to run a proof. */
export interface ProofOptions {
    readonly overrides: SafeguardOverrides;
    readonly seed: number;
    /** Number of schedules for each scenario of each proof. */
    readonly schedules: number;
}

/** Result of one proof, printed as a row of the report or a JSON line. */
export interface ProofRow {
    readonly name: string;
    /** The guarantee. */
    readonly promise: string;
    readonly checker: string;
    /** Names of the scenarios. */
    readonly scenarios: readonly string[];
    /** Number of schedules run: all, or those up to the first one with a finding. */
    readonly schedules: number;
    readonly seed: number;
    /** `gap` means that a history was incomplete, so that it shows nothing about the guarantee. */
    readonly verdict: "holds" | "broken" | "gap";
    readonly findings: readonly string[];
    /** Smallest schedule found that produces the findings. */
    readonly counterexample?: unknown;
}

/** All proofs, in the order of the report. */
export const allProofs: readonly Proof[] = [
    ...callProofs,
    ...streamProofs,
    ...memoryProofs,
    ...clusterProofs,
    ...shareProofs,
];

/** Runs the schedules of one proof until the first finding. */
export function runProof(proof: Proof, { overrides, seed, schedules }: ProofOptions): ProofRow {
    const row = {
        name: proof.name,
        promise: proof.guarantee,
        checker: proof.checkerName,
        scenarios: proof.scenarios.map(scenario => scenario.name),
        seed,
    };
    let run = 0;
    for (const scenario of proof.scenarios) {
        const found = scenario.findCounterexample({ check: proof.check, overrides, seed, runs: schedules });
        run += found?.runs ?? schedules;
        if (found !== undefined) {
            const verdict = found.findings.some(finding => finding.startsWith("gap:")) ? "gap" : "broken";
            return { ...row, schedules: run, verdict, findings: found.findings, counterexample: found.schedule };
        }
    }
    return { ...row, schedules: run, verdict: "holds", findings: [] };
}
