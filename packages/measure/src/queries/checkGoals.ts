import { lengthClasses, type RoutingPolicyName } from "@currantrill/core";
import type { RunSummary } from "../model/runSummary.js";

/** Result of checking one performance goal in one run of the `adaptive` policy. */
export interface GoalResult {
    readonly user: string;
    readonly load: number;
    readonly fault: string;
    readonly goal: string;
    readonly met: boolean;
    /** Measured values, as text. */
    readonly found: string;
}

const BASELINES: readonly RoutingPolicyName[] = ["random", "least-loaded"];
/** Loads at which `adaptive` must be better than the baselines. */
const BASELINE_LOADS = [0.7, 0.9];
/** Load at which the slowdown of short requests is limited. */
const SLOWDOWN_LOAD = 0.7;
const MAX_SLOWDOWN_P95 = 1.1;

/** Checks the goals in all runs of `adaptive`. Only runs without a fault are compared with the baselines. */
export function checkGoals(summaries: readonly RunSummary[]): GoalResult[] {
    return summaries
        .filter(summary => summary.policy === "adaptive")
        .flatMap(summary => [
            ...checkCompletion(summary),
            ...checkSlowdown(summary),
            ...BASELINES.flatMap(policy => compareWithBaseline(summary, findRun(summaries, summary, policy))),
        ]);
}

const findRun = (
    summaries: readonly RunSummary[],
    reference: RunSummary,
    policy: RoutingPolicyName,
): RunSummary | undefined =>
    summaries.find(other =>
        other.policy === policy && other.user === reference.user && other.load === reference.load
        && other.fault === reference.fault
    );

const describeRun = ({ user, load, fault }: RunSummary): Pick<GoalResult, "user" | "load" | "fault"> => ({
    user,
    load,
    fault,
});

function checkCompletion(summary: RunSummary): GoalResult[] {
    return [{
        ...describeRun(summary),
        goal: "no admitted request late or unanswered",
        met: summary.late + summary.unanswered === 0,
        found: `${summary.late} late, ${summary.unanswered} unanswered`,
    }];
}

function checkSlowdown(summary: RunSummary): GoalResult[] {
    if (summary.load !== SLOWDOWN_LOAD || summary.fault !== "none") {
        return [];
    }
    return [{
        ...describeRun(summary),
        goal: `slowdown of short requests at p95 at most ${MAX_SLOWDOWN_P95}`,
        met: summary.slowdown.p95 <= MAX_SLOWDOWN_P95,
        found: summary.slowdown.p95.toFixed(2),
    }];
}

function compareWithBaseline(summary: RunSummary, baseline: RunSummary | undefined): GoalResult[] {
    if (baseline === undefined || !BASELINE_LOADS.includes(summary.load) || summary.fault !== "none") {
        return [];
    }
    const compare = (metric: string, adaptiveValue: number, baselineValue: number, digits: number): GoalResult => ({
        ...describeRun(summary),
        goal: `${metric} better than ${baseline.policy}`,
        met: adaptiveValue < baselineValue,
        found: `${adaptiveValue.toFixed(digits)} against ${baselineValue.toFixed(digits)}`,
    });
    return [
        compare("slowdown of short requests at p95", summary.slowdown.p95, baseline.slowdown.p95, 2),
        ...lengthClasses.map(name =>
            compare(
                `first token p95 of ${name} (ms)`,
                summary.firstToken[name].p95,
                baseline.firstToken[name].p95,
                0,
            )
        ),
    ];
}
