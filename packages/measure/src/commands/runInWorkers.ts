/** Runs scenarios in worker threads, as the runs are independent. The results do not depend on the number of workers. */
import { availableParallelism } from "node:os";
import { Worker } from "node:worker_threads";
import type { RunSummary } from "../model/runSummary.js";
import type { Scenario } from "../model/scenario.js";

const MAX_WORKERS = 6;

/** Runs each scenario with and without long requests. Results are in the order of the scenarios. */
export async function runInWorkers(scenarios: readonly Scenario[]): Promise<RunSummary[]> {
    const workers = Math.min(MAX_WORKERS, availableParallelism(), scenarios.length);
    const parts = await Promise.all(
        Array.from(
            { length: workers },
            (_, worker) => runWorker(scenarios.filter((_scenario, position) => position % workers === worker)),
        ),
    );
    return scenarios.flatMap((_, position) => parts[position % workers]?.[Math.floor(position / workers)] ?? []);
}

function runWorker(scenarios: readonly Scenario[]): Promise<RunSummary[]> {
    return new Promise((resolve, reject) => {
        const worker = new Worker(new URL("../measureWorker.js", import.meta.url), { workerData: scenarios });
        worker.once("message", resolve);
        worker.once("error", reject);
    });
}
