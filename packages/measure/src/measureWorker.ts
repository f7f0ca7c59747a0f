/** Worker thread of `npm run measure`: runs the scenarios of its `workerData` and posts their summaries. */
import { parentPort, workerData } from "node:worker_threads";
import { runWithReference } from "./commands/runWithReference.js";
import type { Scenario } from "./model/scenario.js";

parentPort?.postMessage((workerData as Scenario[]).map(runWithReference));
