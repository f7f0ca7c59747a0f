/** State and services that the components of a forwarding host share. */
import type { ResourceBudget } from "@currantrill/http";
import type { ForwardingSettings } from "@currantrill/settings";
import type Logger from "bunyan";
import type { ConfigurationIndex } from "../configuration/model/configurationIndex.js";
import type { Coordination } from "../coordination/commands/startCoordination.js";
import type { EndpointDirectory } from "../endpoints/model/endpointDirectory.js";
import type { EndpointObservationTable } from "../endpoints/model/endpointObservation.js";
import type { EvacuationRegistry } from "../evacuation/model/evacuationRegistry.js";
import type { Permits } from "../permits/commands/startPermits.js";
import type { AssignmentRegistry } from "../placement/model/assignmentRegistry.js";
import type { CallerProtocol } from "../ports/callerProtocol.js";
import type { EndpointProtocol } from "../ports/endpointProtocol.js";
import type { Quarantine } from "../quarantine/commands/startQuarantine.js";
import type { EndpointLinks } from "../relays/commands/createEndpointLinks.js";
import type { Exchange } from "../requests/model/exchange.js";
import type { RouteDurations } from "../requests/model/routeDurations.js";
import type { SharedRetryBudget } from "../retries/model/sharedRetryBudget.js";
import type { Warmup } from "../warmup/commands/createWarmup.js";
import type { ForwardingMetrics } from "./forwardingMetrics.js";
import type { Shutdown } from "./shutdown.js";

export interface ForwardingContext {
    /** Replaced when the settings file changes. */
    settings: ForwardingSettings;
    readonly log: Logger;
    readonly metrics: ForwardingMetrics;
    readonly callers: CallerProtocol;
    readonly protocol: EndpointProtocol;
    readonly directory: EndpointDirectory;
    /** Paths to the endpoints. */
    readonly links: EndpointLinks;
    readonly evacuations: EvacuationRegistry;
    /** Endpoints that are cold. */
    readonly warmup: Warmup;
    readonly assignmentRegistry: AssignmentRegistry;
    /** Endpoint observations that peers have announced. */
    readonly peerObservations: EndpointObservationTable;
    /** Whether each host knows all assignments and places prompts by itself. */
    readonly isSmallFleet: () => boolean;
    /** Places prompts in a large fleet. */
    readonly placePrompt: Coordination["placePrompt"];
    /** Limits the requests of all hosts to endpoints that name a rate limit. */
    readonly permits: Permits;
    /** Limits everything that callers make this host hold. */
    readonly resourceBudget: ResourceBudget;
    /** Refuses prompts with parts that crash endpoints. */
    readonly quarantine: Quarantine;
    /** Limits the retries of all hosts together. */
    readonly retryBudget: SharedRetryBudget;
    /**
     * Returns the active configuration, `undefined` until the first one and the evacuations are known: a peer may send the
     * configuration before this host has read the operator's table.
     */
    readonly getConfiguration: () => ConfigurationIndex | undefined;
    /** Creates an id that is unique among all hosts and all runs of their processes. */
    readonly createReservationId: () => string;
    /** Set when a graceful shutdown has begun; the host then reports not ready. */
    shutdown?: Shutdown;
    /** Requests of callers that are being served. */
    readonly exchanges: Set<Exchange>;
    readonly routeDurations: RouteDurations;
}
