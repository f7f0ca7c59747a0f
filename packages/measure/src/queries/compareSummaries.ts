import { lengthClasses } from "@currantrill/core";
import type { RunSummary } from "../model/runSummary.js";
import { renderTable } from "./renderTables.js";

/** Renders a table of the runs that are in both lists, with the earlier and the present value of each metric. */
export function compareSummaries(earlier: readonly RunSummary[], present: readonly RunSummary[]): string {
    const earlierByRun = new Map(earlier.map(summary => [getRunKey(summary), summary]));
    const rows = present.flatMap(summary => {
        const before = earlierByRun.get(getRunKey(summary));
        return before === undefined ? [] : [renderChange(before, summary)];
    });
    return renderTable(
        ["run", ...lengthClasses.map(name => `${name} p95 s`), "slowdown p95", "refused", "late", "unanswered"],
        rows,
    );
}

const getRunKey = ({ user, load, fault, policy, seed }: RunSummary): string =>
    `${user} ${Math.round(load * 100)}% ${fault} ${policy} seed ${seed}`;

function renderChange(before: RunSummary, after: RunSummary): string[] {
    const format = (getValue: (summary: RunSummary) => number, digits: number): string =>
        `${getValue(before).toFixed(digits)} → ${getValue(after).toFixed(digits)}`;
    return [
        getRunKey(after),
        ...lengthClasses.map(name => format(summary => summary.firstToken[name].p95 / 1_000, 2)),
        format(summary => summary.slowdown.p95, 2),
        format(summary => summary.refused, 0),
        format(summary => summary.late, 0),
        format(summary => summary.unanswered, 0),
    ];
}
