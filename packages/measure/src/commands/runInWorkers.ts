/** Runs independent scenarios in worker threads. The results do not depend on the number of workers. */
import { availableParallelism } from "node:os";
import { Worker } from "node:worker_threads";
import type { RunSummary } from "../model/runSummary.js";
import type { Scenario } from "../model/scenario.js";

const MAX_WORKERS = 6;

/** Runs each scenario with and without long requests. Returns the summaries in the order of the scenarios. */
export async function runInWorkers(scenarios: readonly Scenario[]): Promise<RunSummary[]> {
    const workerCount = Math.min(MAX_WORKERS, availableParallelism(), scenarios.length);
    const summariesByWorker = await Promise.all(
        Array.from(
            { length: workerCount },
            (_, worker) => runWorker(scenarios.filter((_scenario, position) => position % workerCount === worker)),
        ),
    );
    return scenarios.flatMap((_, position) =>
        summariesByWorker[position % workerCount]?.[Math.floor(position / workerCount)] ?? []
    );
}

function runWorker(scenarios: readonly Scenario[]): Promise<RunSummary[]> {
    return new Promise((resolve, reject) => {
        const worker = new Worker(new URL("../measureWorker.js", import.meta.url), { workerData: scenarios });
        worker.once("message", resolve);
        worker.once("error", reject);
    });
}
