/** Runs the proofs and reports one row for each promise. */
import { callProofs } from "../calls/callProofs.js";
import { clusterProofs } from "../cluster/clusterProofs.js";
import { memoryProofs } from "../memory/memoryProofs.js";
import type { PromiseProof, Switches } from "../model/proof.js";
import { streamProofs } from "../streams/streamProofs.js";

export interface ProofOptions {
    readonly switches: Switches;
    readonly seed: number;
    /** Schedules of each scenario of each promise. */
    readonly schedules: number;
}

export interface ProofRow {
    readonly name: string;
    readonly promise: string;
    readonly checker: string;
    readonly scenarios: readonly string[];
    /** Schedules run until the first finding, or all. */
    readonly schedules: number;
    readonly seed: number;
    readonly verdict: "holds" | "broken" | "gap";
    readonly findings: readonly string[];
    /** Smallest schedule found that leads to the findings. */
    readonly counterexample?: unknown;
}

/** All promises, in the order of the report. */
export const promiseProofs: readonly PromiseProof[] = [
    ...callProofs,
    ...streamProofs,
    ...memoryProofs,
    ...clusterProofs,
];

/** Runs the schedules of one promise. */
export function runProof(proof: PromiseProof, { switches, seed, schedules }: ProofOptions): ProofRow {
    const row = {
        name: proof.name,
        promise: proof.promise,
        checker: proof.checkerName,
        scenarios: proof.scenarios.map(scenario => scenario.name),
        seed,
    };
    let run = 0;
    for (const scenario of proof.scenarios) {
        const found = scenario.findCounterexample({ check: proof.check, switches, seed, runs: schedules });
        run += found?.runs ?? schedules;
        if (found !== undefined) {
            const verdict = found.findings.some(finding => finding.startsWith("gap:")) ? "gap" : "broken";
            return { ...row, schedules: run, verdict, findings: found.findings, counterexample: found.schedule };
        }
    }
    return { ...row, schedules: run, verdict: "holds", findings: [] };
}
