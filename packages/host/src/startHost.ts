/** Composes and starts the components of a host. */
import { createLog } from "@currantrill/logging";
import type { HostSettings } from "@currantrill/settings";
import { createHostListClient, createTableClient } from "@currantrill/store";
import { serveCallers } from "./callers/commands/serveCallers.js";
import { drainRequests } from "./commands/drainRequests.js";
import { startDataPath } from "./commands/startDataPath.js";
import { broadcastConfiguration } from "./configuration/commands/broadcastConfiguration.js";
import { readHead, startConfigurationPoll } from "./configuration/commands/pollConfiguration.js";
import { createConfigurationState } from "./configuration/model/configurationState.js";
import { startEvacuationLog } from "./evacuation/commands/logEvacuations.js";
import { startDemandExchange } from "./limits/commands/updateDemand.js";
import { createWorkspaceLimits } from "./limits/model/workspaceLimits.js";
import { createDataPath } from "./model/dataPath.js";
import { createIncarnationId, type HostContext } from "./model/hostContext.js";
import { createHostMetrics } from "./model/hostMetrics.js";
import { startMonitoring } from "./monitoring/commands/monitorEndpoints.js";
import { createEndpointMonitorState } from "./monitoring/model/endpointMonitorState.js";
import { serveOperators } from "./operators/commands/serveOperators.js";
import { publishHostFact } from "./peers/commands/publishFact.js";
import { startPeers } from "./peers/commands/startPeers.js";
import { trackHostList } from "./peers/commands/trackHostList.js";
import { createFleet } from "./peers/model/fleet.js";
import { startPlacement } from "./placement/commands/startPlacement.js";

export interface RunningHost {
    readonly context: HostContext;
    /**
     * Shuts down gracefully: announces that the host is leaving, and resolves when the requests in flight have ended
     * and all servers are closed. Further calls return the same promise.
     */
    readonly drain: () => Promise<void>;
}

/**
 * Starts a host and its servers. Rejects if an address cannot be bound. An unreachable platform does not prevent the
 * start.
 */
export async function startHost(settings: HostSettings): Promise<RunningHost> {
    const incarnation = createIncarnationId();
    const platform = { url: settings.platform.url, timeoutMs: settings.platform.timeout_ms };
    const context: HostContext = {
        ...createDataPath({ settings, incarnation, getContext: () => context }),
        settings,
        incarnation,
        log: createLog({ name: "currantrilld", host: settings.host_id, level: settings.log_level }),
        metrics: createHostMetrics(),
        tables: createTableClient(platform),
        hostList: createHostListClient(platform),
        configuration: createConfigurationState(settings),
        fleet: createFleet(settings, incarnation),
        endpointMonitor: createEndpointMonitorState(),
        limits: createWorkspaceLimits(new Set([...settings.seeds, settings.listen.peers]).size),
        inFlight: new Set(),
        draining: false,
    };
    startEvacuationLog(context);
    const stopDataPath = startDataPath(context);
    const monitorTimers = startMonitoring(context);
    const peers = await startPeers(context);
    context.configuration.listeners.add(() => {
        broadcastConfiguration(context);
        publishHostFact(context);
    });
    const hostList = trackHostList(context);
    await readHead(context).catch((error: unknown) =>
        context.log.warn({ err: error }, "configuration: cannot read from the platform")
    );
    const timers = [
        ...monitorTimers,
        startDemandExchange(context),
        startPlacement(context),
        startConfigurationPoll(context),
    ];
    const operators = await serveOperators(context);
    const callers = await serveCallers(context);
    context.log.info({ settings: settings.listen }, "host: started");
    const drain = async (): Promise<void> => {
        context.draining = true;
        context.log.info({ inFlight: context.inFlight.size }, "host: draining");
        peers.announceLeaving();
        await hostList.markLeaving();
        await drainRequests(context, callers);
        timers.forEach(timer => clearInterval(timer));
        await hostList.stop();
        await peers.stop();
        await stopDataPath();
        await operators.close();
        context.log.info("host: stopped");
    };
    let drained: Promise<void> | undefined;
    return { context, drain: () => drained ??= drain() };
}
