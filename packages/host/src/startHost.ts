/** Composes the parts of a host. */
import { emptyConfiguration } from "@currantrill/core";
import { createTableClient } from "@currantrill/platform";
import type { HostSettings } from "@currantrill/settings";
import bunyan from "bunyan";
import { createSoleOwner } from "./allocations/queries/createSoleOwner.js";
import { serveCallers } from "./callers/commands/serveCallers.js";
import { drainRequests } from "./commands/drainRequests.js";
import { startDataPath } from "./commands/startDataPath.js";
import { readHead, startConfigurationPoll } from "./configuration/commands/pollConfiguration.js";
import { createDataPath } from "./model/dataPath.js";
import { createIncarnationId, type HostContext } from "./model/hostContext.js";
import { createHostMetrics } from "./model/hostMetrics.js";
import { serveOperators } from "./operators/commands/serveOperators.js";

export interface RunningHost {
    readonly context: HostContext;
    /** Graceful shutdown: refuses new work, and resolves when the requests in flight have ended. */
    readonly drain: () => Promise<void>;
}

/** Starts a host. Rejects if an address cannot be bound. */
export async function startHost(settings: HostSettings): Promise<RunningHost> {
    const incarnation = createIncarnationId();
    const context: HostContext = {
        ...createDataPath({
            settings,
            incarnation,
            owners: createSoleOwner(incarnation, () => context),
            getStops: () => ({}),
            getContext: () => context,
        }),
        settings,
        incarnation,
        log: bunyan.createLogger({ name: "currantrilld", host: settings.host_id, level: settings.log_level }),
        metrics: createHostMetrics(),
        tables: createTableClient({ url: settings.platform.url, timeoutMs: settings.platform.timeout_ms }),
        configuration: { current: emptyConfiguration, confirmedAt: undefined },
        inFlight: new Set(),
        draining: false,
    };
    await readHead(context).catch((error: unknown) =>
        context.log.warn({ err: error }, "configuration: platform not reachable")
    );
    const poll = startConfigurationPoll(context);
    const stopDataPath = startDataPath(context);
    const operators = await serveOperators(context);
    const callers = await serveCallers(context);
    context.log.info({ settings: settings.listen }, "host: started");
    const drain = async (): Promise<void> => {
        context.draining = true;
        await drainRequests(context, callers);
        clearInterval(poll);
        await stopDataPath();
        await operators.close();
        context.log.info("host: stopped");
    };
    let drained: Promise<void> | undefined;
    return { context, drain: () => drained ??= drain() };
}
