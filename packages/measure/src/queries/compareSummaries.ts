import { lengthClasses } from "@currantrill/core";
import type { RunSummary } from "../model/runSummary.js";
import { renderTable } from "./renderTables.js";

/** Table of the runs that are in both files: earlier and present value of each measure. */
export function compareSummaries(earlier: readonly RunSummary[], present: readonly RunSummary[]): string {
    const known = new Map(earlier.map(summary => [getRunKey(summary), summary]));
    const rows = present.flatMap(summary => {
        const before = known.get(getRunKey(summary));
        return before === undefined ? [] : [renderPair(before, summary)];
    });
    return renderTable(
        ["run", ...lengthClasses.map(name => `${name} p95 s`), "slowdown p95", "refused", "late", "unanswered"],
        rows,
    );
}

const getRunKey = ({ user, load, fault, policy, seed }: RunSummary): string =>
    `${user} ${Math.round(load * 100)}% ${fault} ${policy} seed ${seed}`;

function renderPair(before: RunSummary, after: RunSummary): string[] {
    const show = (read: (summary: RunSummary) => number, digits: number): string =>
        `${read(before).toFixed(digits)} → ${read(after).toFixed(digits)}`;
    return [
        getRunKey(after),
        ...lengthClasses.map(name => show(summary => summary.firstToken[name].p95 / 1_000, 2)),
        show(summary => summary.slowdown.p95, 2),
        show(summary => summary.refused, 0),
        show(summary => summary.late, 0),
        show(summary => summary.unanswered, 0),
    ];
}
