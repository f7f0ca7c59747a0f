import { lengthClasses, type RoutingPolicyName } from "@currantrill/core";
import type { RunSummary } from "../model/runSummary.js";

/** One goal of section 8 of the design page in one run of `adaptive`. */
export interface GoalResult {
    readonly user: string;
    readonly load: number;
    readonly fault: string;
    readonly goal: string;
    readonly met: boolean;
    readonly found: string;
}

const BASELINES: readonly RoutingPolicyName[] = ["random", "least-loaded"];
/** Loads at which `adaptive` has to beat the baselines. */
const COMPARED_LOADS = [0.7, 0.9];
const SLOWDOWN_LOAD = 0.7;
const MAX_SLOWDOWN_P95 = 1.1;

/** Compares the runs of `adaptive` with the goals. Only runs without a fault are compared with the baselines. */
export function checkGoals(summaries: readonly RunSummary[]): GoalResult[] {
    return summaries
        .filter(summary => summary.policy === "adaptive")
        .flatMap(summary => [
            ...checkAnswers(summary),
            ...checkSlowdown(summary),
            ...BASELINES.flatMap(policy => checkAgainst(summary, findRun(summaries, summary, policy))),
        ]);
}

const findRun = (all: readonly RunSummary[], like: RunSummary, policy: RoutingPolicyName): RunSummary | undefined =>
    all.find(other =>
        other.policy === policy && other.user === like.user && other.load === like.load && other.fault === like.fault
    );

const describeRun = ({ user, load, fault }: RunSummary): Pick<GoalResult, "user" | "load" | "fault"> => ({
    user,
    load,
    fault,
});

function checkAnswers(summary: RunSummary): GoalResult[] {
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

function checkAgainst(summary: RunSummary, baseline: RunSummary | undefined): GoalResult[] {
    if (baseline === undefined || !COMPARED_LOADS.includes(summary.load) || summary.fault !== "none") {
        return [];
    }
    const compare = (measure: string, own: number, other: number, digits: number): GoalResult => ({
        ...describeRun(summary),
        goal: `${measure} better than ${baseline.policy}`,
        met: own < other,
        found: `${own.toFixed(digits)} against ${other.toFixed(digits)}`,
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
