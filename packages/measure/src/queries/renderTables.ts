import { lengthClasses } from "@currantrill/core";
import type { DecisionTime } from "../model/decisionTime.js";
import type { Percentiles, RunSummary } from "../model/runSummary.js";
import type { GoalResult } from "./checkGoals.js";

const HEADINGS = [
    "load",
    "fault",
    "policy",
    ...lengthClasses.map(name => `${name} first token p50/p95/p99 s`),
    "slowdown p50/p95",
    "paired p95",
    "score",
    "requests",
    "refused",
    "late",
    "unanswered",
    "utilisation",
];

/** Renders a Markdown table of the runs of each deployment. `shortRequestWeight` maps its name to its weight. */
export function renderResults(
    summaries: readonly RunSummary[],
    shortRequestWeight: ReadonlyMap<string, number>,
): string {
    return [...new Set(summaries.map(summary => summary.user))]
        .map(user => {
            const runs = summaries.filter(summary => summary.user === user);
            const weight = shortRequestWeight.get(user) ?? 0;
            const heading = `${user}: weight ${weight} on slowdown of short requests, ${1 - weight} on first token`;
            return `${heading}\n\n${renderTable(HEADINGS, runs.map(run => renderRun(run, weight)))}`;
        })
        .join("\n\n");
}

/** Renders the number of goals that are met, and one line for each goal that is not. */
export function renderGoals(goals: readonly GoalResult[]): string {
    const missed = goals.filter(goal => !goal.met);
    const lines = missed.map(({ user, load, fault, goal, found }) =>
        `not met: ${user}, load ${load}, ${fault}: ${goal}: ${found}`
    );
    return [`goals met: ${goals.length - missed.length} of ${goals.length}`, ...lines].join("\n");
}

export function renderDecisionTimes(times: readonly DecisionTime[]): string {
    return renderTable(
        ["policy", "endpoints", "decisions", "p50 µs", "p99 µs"],
        times.map(time => [
            time.policy,
            String(time.endpoints),
            String(time.decisions),
            time.p50Us.toFixed(1),
            time.p99Us.toFixed(1),
        ]),
    );
}

/** Renders a Markdown table. */
export function renderTable(headings: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [headings, headings.map(() => "---"), ...rows];
    return lines.map(cells => `| ${cells.join(" | ")} |`).join("\n");
}

function renderRun(run: RunSummary, weight: number): string[] {
    return [
        `${Math.round(run.load * 100)}%`,
        run.fault,
        run.policy,
        ...lengthClasses.map(name => renderPercentiles(run.firstToken[name])),
        `${run.slowdown.p50.toFixed(2)}/${run.slowdown.p95.toFixed(2)}`,
        run.pairedSlowdown.p95.toFixed(2),
        computeScore(run, weight).toFixed(2),
        String(run.requests),
        String(run.refused),
        String(run.late),
        String(run.unanswered),
        `${Math.round(run.utilisation * 100)}%`,
    ];
}

const renderPercentiles = ({ p50, p95, p99 }: Percentiles): string =>
    [p50, p95, p99].map(value => (value / 1_000).toFixed(2)).join("/");

/**
 * Computes the score of a run; lower is better. It is the weighted geometric mean of the slowdown of short requests at
 * p95 and of the time to first token at p95 in seconds, the latter as the geometric mean over the length classes.
 * `weight` is the weight of the slowdown, from 0 to 1.
 */
export function computeScore(run: RunSummary, weight: number): number {
    const logs = lengthClasses.map(name => Math.log(run.firstToken[name].p95 / 1_000));
    const firstToken = logs.reduce((sum, value) => sum + value, 0) / logs.length;
    return Math.exp(weight * Math.log(run.slowdown.p95) + (1 - weight) * firstToken);
}
