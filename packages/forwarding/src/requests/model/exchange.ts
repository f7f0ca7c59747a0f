/** A caller's request while it is being served, with its response and its attempts. */
import type { ByteBudget } from "@currantrill/http";
import type { WorkspaceId } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import type { Route, ServiceDefinition } from "../../configuration/model/servingConfiguration.js";
import type { CallerHeaders } from "../../ports/callerProtocol.js";
import type { QuarantineEntry } from "../../quarantine/model/quarantineEntry.js";
import type { SuspectId } from "../../quarantine/model/suspect.js";
import type { TrackedRequest } from "../../quarantine/model/trackedRequest.js";
import type { AttemptRecord } from "./attemptRecord.js";

export interface Exchange {
    readonly requestId: string;
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly target: string;
    /** Header names and values, alternating, as forwarded to the endpoint. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Whether the caller has set a condition that an endpoint may refuse (`EndpointProtocol.conditionHeaders`). */
    readonly isConditional: boolean;
    /** Values parsed from the caller's headers. */
    readonly callerMetadata: CallerHeaders;
    readonly tracked: TrackedRequest;
    readonly response: ServerResponse;
    /** Pays for what the host keeps of responses of endpoints, until the caller has received it. */
    readonly responseBudget: ByteBudget;
    readonly route: Route;
    readonly service: ServiceDefinition;
    readonly workspace?: WorkspaceId;
    readonly priority: number;
    readonly configurationVersion: number;
    /** Arrival of the head on the monotonic clock, in milliseconds. */
    readonly receivedAtMs: number;
    /** Arrival of the whole request on the monotonic clock, in milliseconds. */
    readonly startedAtMs: number;
    /** Deadline on the monotonic clock: the caller's or the route's, whichever is earlier. */
    readonly deadlineAtMs: number;
    /** All attempts so far, as written to the request log. */
    readonly attempts: AttemptRecord[];
    /** Called once if the caller disconnects before the response is complete. */
    onDisconnect: (() => void) | undefined;
    /** Whether the caller has disconnected, or has its final answer although the request waited. Nothing more is sent for it. */
    hasEnded: boolean;
    /** Called if the host stops before the response is complete. It must be given its final answer. */
    onStop: () => void;
    /** What it was refused for: a part of its prompt, or the request as a whole. */
    isolatedSuspect?: SuspectId;
    /** Set if it is the trial of an isolated suspect. */
    trial?: {
        readonly entry: QuarantineEntry;
        /** Attempts that were not part of the trial. */
        readonly attemptsBefore: number;
    };
}
