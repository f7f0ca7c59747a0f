/** Composes the parts of a host. */
import { createLog } from "@currantrill/logging";
import type { HostSettings } from "@currantrill/settings";
import { createHostListClient, createTableClient } from "@currantrill/store";
import { serveCallers } from "./callers/commands/serveCallers.js";
import { drainRequests } from "./commands/drainRequests.js";
import { startDataPath } from "./commands/startDataPath.js";
import { readHead, startConfigurationPoll } from "./configuration/commands/pollConfiguration.js";
import { shareConfiguration } from "./configuration/commands/shareConfiguration.js";
import { createConfigurationHolder } from "./configuration/model/configurationHolder.js";
import { startDemandExchange } from "./limits/commands/updateDemand.js";
import { createWorkspaceLimits } from "./limits/model/workspaceLimits.js";
import { createDataPath } from "./model/dataPath.js";
import { createIncarnationId, type HostContext } from "./model/hostContext.js";
import { createHostMetrics } from "./model/hostMetrics.js";
import { serveOperators } from "./operators/commands/serveOperators.js";
import { publishHostFact } from "./peers/commands/publishFact.js";
import { startPeers } from "./peers/commands/startPeers.js";
import { trackHostList } from "./peers/commands/trackHostList.js";
import { createFleet } from "./peers/model/fleet.js";
import { startPlacement } from "./placement/commands/startPlacement.js";
import { startWatching } from "./watching/commands/watchEndpoints.js";
import { createEndpointViews } from "./watching/model/endpointViews.js";

export interface RunningHost {
    readonly context: HostContext;
    /** Graceful shutdown: refuses new work, and resolves when the requests in flight have ended. */
    readonly drain: () => Promise<void>;
}

/** Starts a host. Rejects if an address cannot be bound. */
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
        configuration: createConfigurationHolder(settings),
        fleet: createFleet(settings, incarnation),
        endpointViews: createEndpointViews(),
        limits: createWorkspaceLimits(new Set([...settings.seeds, settings.listen.peers]).size),
        inFlight: new Set(),
        draining: false,
    };
    const stopDataPath = startDataPath(context);
    const watching = startWatching(context);
    const peers = await startPeers(context);
    context.configuration.listeners.add(() => {
        shareConfiguration(context);
        publishHostFact(context);
    });
    const hostList = trackHostList(context);
    await readHead(context).catch((error: unknown) =>
        context.log.warn({ err: error }, "configuration: platform not reachable")
    );
    const timers = [
        ...watching,
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
        peers.leave();
        await hostList.leave();
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
