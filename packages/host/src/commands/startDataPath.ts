/** Starts the parts of the data path that act without a request. */
import { lengthClasses } from "@currantrill/core";
import { startSweeper } from "../allocations/commands/sweepOrphans.js";
import { startLending } from "../lending/commands/handleReclaims.js";
import type { HostContext } from "../model/hostContext.js";
import { updateLanes } from "../prompts/commands/updateLanes.js";

const QUEUE_METRIC_MS = 1_000;
const LANES_MS = 5_000;

/** Returns the function that stops them and closes the connections to endpoints. */
export function startDataPath(context: HostContext): () => Promise<void> {
    connectFleet(context);
    const timers = [
        ...startLending(context),
        startSweeper(context),
        setInterval(() => setQueueMetrics(context), QUEUE_METRIC_MS),
        setInterval(() => updateLanes(context), LANES_MS),
    ];
    return async () => {
        timers.forEach(timer => clearInterval(timer));
        context.queue.stop();
        context.allocations.stop();
        await context.clients.close();
    };
}

/** Feeds what the fleet tells about endpoints into the decisions of the data path. */
function connectFleet(context: HostContext): void {
    const { allocations, beliefs, configuration, endpointViews, fleet, lending } = context;
    fleet.listAliveAttempts = attempts => allocations.listAlive(attempts);
    fleet.listeners.add(({ fact }) => {
        if (fact.kind === "endpoint") {
            beliefs.applyDigest(fact, performance.now());
        }
        if (fact.kind === "stop") {
            lending.addStop(fact);
            lending.refresh();
        }
    });
    configuration.listeners.add(current => {
        lending.dropStops(current);
        lending.refresh();
    });
    endpointViews.cacheListeners.add(({ endpoint, events }) => beliefs.applyCacheEvents(endpoint, events));
}

function setQueueMetrics({ metrics, queue }: HostContext): void {
    const waiting = queue.countWaiting();
    lengthClasses.forEach(name => metrics.queueLength.set({ length_class: name }, waiting[name]));
}
