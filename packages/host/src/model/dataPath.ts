/** The components of a host that serve prompts and service calls. */
import { type Configuration, findObject, type RoutingOutcome } from "@currantrill/core";
import type { AttemptId, IncarnationId } from "@currantrill/protocol";
import type { HostSettings } from "@currantrill/settings";
import { createObjectClient, type ObjectClient } from "@currantrill/store";
import { type AllocationManager, createAllocationManager } from "../allocations/model/allocationManager.js";
import type { OwnerDirectory } from "../allocations/model/ownerDirectory.js";
import { createOwnerDirectory } from "../allocations/queries/createOwnerDirectory.js";
import { createServiceLoad, type ServiceLoad } from "../calls/model/serviceLoad.js";
import { createEndpointClients, type EndpointClients } from "../endpoints/model/endpointClients.js";
import { createEndpointStateTable, type EndpointStateTable } from "../endpoints/model/endpointStateTable.js";
import type { RunningAttempts } from "../endpoints/model/runningAttempt.js";
import { createLendingManager, type LendingManager } from "../lending/model/lendingManager.js";
import { routePrompt } from "../prompts/commands/routePrompt.js";
import type { PromptJob } from "../prompts/model/promptJob.js";
import { createPromptQueue, type PromptQueue } from "../prompts/model/promptQueue.js";
import { createPromptState, type PromptState } from "../prompts/model/promptState.js";
import { isRefusedByEvacuation } from "../prompts/queries/isRefusedByEvacuation.js";
import { getConfigurationIndex } from "../queries/getConfigurationIndex.js";
import type { HostContext } from "./hostContext.js";

/** Routing outcomes with which a prompt leaves the queue and its attempt starts. */
const STARTING_OUTCOMES: ReadonlySet<RoutingOutcome["kind"]> = new Set(["send", "gang"]);

/** State and clients that requests are served with. */
export interface DataPath {
    /** The object store of the platform, which holds large responses of recorded calls. */
    readonly objects: ObjectClient;
    readonly clients: EndpointClients;
    readonly endpointStates: EndpointStateTable;
    readonly lending: LendingManager;
    /** Prompt attempts in flight. */
    readonly attempts: RunningAttempts;
    readonly prompts: PromptState;
    /** Prompts that cannot start yet. */
    readonly queue: PromptQueue;
    readonly allocations: AllocationManager;
    readonly allocationOwners: OwnerDirectory;
    readonly services: ServiceLoad;
    /** Recorded calls whose last write is not confirmed, including those whose caller has disconnected. */
    readonly openCalls: Set<Promise<void>>;
}

/** What the data path needs from the other components of the host. */
export interface DataPathSources {
    readonly settings: HostSettings;
    readonly incarnation: IncarnationId;
    /** Returns the context that contains the data path. It must not be called before the context is complete. */
    readonly getContext: () => HostContext;
}

/** Whether a pending prompt leaves the queue: to an engine or a gang, or to be refused because of an evacuation. */
function canStartPrompt(context: HostContext, job: PromptJob): boolean {
    const { kind } = routePrompt(context, job).outcome;
    return STARTING_OUTCOMES.has(kind) || (kind === "refuse" && isRefusedByEvacuation(context, job));
}

/** Creates the data path. It is inactive until `startDataPath`. */
export function createDataPath(sources: DataPathSources): DataPath {
    const { settings, incarnation, getContext } = sources;
    const getConfiguration = (): Configuration => getContext().configuration.current;
    const clients = createEndpointClients();
    const states = createEndpointStateTable(getConfiguration);
    const attempts: RunningAttempts = new Map();
    return {
        objects: createObjectClient({ url: settings.platform.url, timeoutMs: settings.platform.timeout_ms }),
        clients,
        endpointStates: states,
        lending: createLendingManager({
            getEndpoints: () => getConfigurationIndex(getConfiguration()).endpoints,
            getEvacuatedDomains: () => getConfigurationIndex(getConfiguration()).evacuatedDomains,
            findEndpoint: endpoint => findObject(getConfiguration(), "endpoint", endpoint),
            getFreshness: () => getContext().configuration.freshness,
            stateTable: states,
        }),
        attempts,
        prompts: createPromptState(),
        queue: createPromptQueue({
            canStart: job => canStartPrompt(getContext(), job),
            getRoutingKey: ({ scope, request }) => `${scope.workspace.name}/${request.model}/${request.lengthClass}`,
        }),
        allocations: createAllocationManager({
            incarnation,
            clients,
            getUrl: endpoint => states.getUrl(endpoint),
            handleLost: (attempt: AttemptId) => attempts.get(attempt)?.interrupt("allocation_lost"),
        }),
        allocationOwners: createOwnerDirectory(getContext),
        services: createServiceLoad(),
        openCalls: new Set(),
    };
}
