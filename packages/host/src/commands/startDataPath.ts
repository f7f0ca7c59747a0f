/** Starts the parts of the data path that act without a request. */
import { lengthClasses } from "@currantrill/core";
import { startSweeper } from "../allocations/commands/sweepOrphans.js";
import { startReportPoll } from "../endpoints/commands/pollReports.js";
import { startLending } from "../lending/commands/handleReclaims.js";
import type { HostContext } from "../model/hostContext.js";

const QUEUE_METRIC_MS = 1_000;

/** Returns the function that stops them and closes the connections to endpoints. */
export function startDataPath(context: HostContext): () => Promise<void> {
    const timers = [
        startReportPoll(context),
        startLending(context),
        startSweeper(context),
        setInterval(() => setQueueMetrics(context), QUEUE_METRIC_MS),
    ];
    return async () => {
        timers.forEach(timer => clearInterval(timer));
        context.queue.stop();
        context.allocations.stop();
        await context.clients.close();
    };
}

function setQueueMetrics({ metrics, queue }: HostContext): void {
    const waiting = queue.countWaiting();
    lengthClasses.forEach(name => metrics.queueLength.set({ length_class: name }, waiting[name]));
}
