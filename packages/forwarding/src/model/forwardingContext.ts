/** What the parts of a forwarding host share. */
import type { ForwardingSettings } from "@currantrill/settings";
import type Logger from "bunyan";
import type { ConfigurationIndex } from "../configuration/model/configurationIndex.js";
import type { EndpointDirectory } from "../endpoints/model/endpointDirectory.js";
import type { SightingBoard } from "../endpoints/model/endpointSighting.js";
import type { Ledger } from "../placement/model/ledger.js";
import type { CallerProtocol } from "../ports/callerProtocol.js";
import type { EndpointProtocol } from "../ports/endpointProtocol.js";
import type { SharedRetryBudget } from "../retries/model/sharedRetryBudget.js";
import type { ForwardingMetrics } from "./forwardingMetrics.js";

export interface ForwardingContext {
    /** Replaced when the settings file changes. */
    settings: ForwardingSettings;
    readonly log: Logger;
    readonly metrics: ForwardingMetrics;
    readonly callers: CallerProtocol;
    readonly protocol: EndpointProtocol;
    readonly directory: EndpointDirectory;
    readonly ledger: Ledger;
    /** What peers have seen of endpoints. */
    readonly sightings: SightingBoard;
    /** Whether all hosts tell each other their work at once. */
    readonly isSmallFleet: () => boolean;
    readonly budget: SharedRetryBudget;
    /** The configuration in force, `undefined` until the first one is known. */
    readonly getConfiguration: () => ConfigurationIndex | undefined;
    /** Creates an id that no host uses twice. */
    readonly createReservationId: () => string;
    isDraining: boolean;
    inFlight: number;
}
