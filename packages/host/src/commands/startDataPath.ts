/** Starts the background tasks of the data path. */
import { lengthClasses } from "@currantrill/core";
import { startSweeper } from "../allocations/commands/sweepOrphans.js";
import { startLending } from "../lending/commands/handleReclaims.js";
import type { HostContext } from "../model/hostContext.js";
import { updateLanes } from "../prompts/commands/updateLanes.js";

/** Interval at which the queue length metric is updated. */
const QUEUE_METRIC_INTERVAL_MS = 1_000;
/** Interval at which the engines are divided again into a lane for long prompts and one for the rest. */
const LANE_UPDATE_INTERVAL_MS = 5_000;

/** Starts the tasks. Returns the function that stops them and closes the connections to the endpoints. */
export function startDataPath(context: HostContext): () => Promise<void> {
    connectListeners(context);
    const timers = [
        ...startLending(context),
        startSweeper(context),
        setInterval(() => setQueueMetrics(context), QUEUE_METRIC_INTERVAL_MS),
        setInterval(() => updateLanes(context), LANE_UPDATE_INTERVAL_MS),
    ];
    return async () => {
        timers.forEach(timer => clearInterval(timer));
        context.queue.stop();
        context.allocations.stop();
        await context.clients.close();
    };
}

/** Connects the data path to the updates from peers, from the configuration and from the endpoint monitor. */
function connectListeners(context: HostContext): void {
    const { allocations, endpointStates: states, configuration, endpointMonitor, fleet, lending } = context;
    fleet.listAliveAttempts = attempts => allocations.listAlive(attempts);
    fleet.factListeners.add(({ fact }) => {
        if (fact.kind === "endpoint") {
            states.applyDigest(fact, performance.now());
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
    endpointMonitor.cacheListeners.add(({ endpoint, events }) => states.applyCacheEvents(endpoint, events));
}

function setQueueMetrics({ metrics, queue }: HostContext): void {
    const pending = queue.countPending();
    lengthClasses.forEach(name => metrics.queueLength.set({ length_class: name }, pending[name]));
}
