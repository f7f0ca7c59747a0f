/** One request of a caller while it is served. */
import type { WorkspaceId } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import type { Route, ServiceDefinition } from "../../configuration/model/servingConfiguration.js";
import type { CallerFacts } from "../../ports/callerProtocol.js";
import type { AttemptRecord } from "./attemptRecord.js";

export interface Exchange {
    readonly requestId: string;
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly target: string;
    /** Names and values in turn, as they are passed on. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    readonly facts: CallerFacts;
    readonly response: ServerResponse;
    readonly route: Route;
    readonly service: ServiceDefinition;
    readonly workspace?: WorkspaceId;
    readonly priority: number;
    readonly configurationVersion: number;
    /** Steady clock. */
    readonly startedAtMs: number;
    /** End of the caller's or the route's time, whichever is first. */
    readonly endsAtMs: number;
    readonly attempts: AttemptRecord[];
    /** Called once if the caller leaves before the answer is complete. */
    onGone: (() => void) | undefined;
    isGone: boolean;
}
