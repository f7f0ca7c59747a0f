/** State and clients that the components of a host share. */
import type { AttemptId, IncarnationId, RequestId } from "@currantrill/protocol";
import { toAttemptId, toIncarnationId, toRequestId } from "@currantrill/protocol";
import type { HostSettings } from "@currantrill/settings";
import type { HostListClient, TableClient } from "@currantrill/store";
import type Logger from "bunyan";
import { randomUUID } from "node:crypto";
import type { ConfigurationState } from "../configuration/model/configurationState.js";
import type { WorkspaceLimits } from "../limits/model/workspaceLimits.js";
import type { EndpointMonitorState } from "../monitoring/model/endpointMonitorState.js";
import type { Fleet } from "../peers/model/fleet.js";
import type { DataPath } from "./dataPath.js";
import type { HostMetrics } from "./hostMetrics.js";

/** Passed to the commands and queries of a host. There is one for each host process. */
export interface HostContext extends DataPath {
    readonly settings: HostSettings;
    /** Id of this run of the host; a restarted host has another one. */
    readonly incarnation: IncarnationId;
    readonly log: Logger;
    readonly metrics: HostMetrics;
    readonly tables: TableClient;
    readonly hostList: HostListClient;
    readonly configuration: ConfigurationState;
    readonly fleet: Fleet;
    readonly endpointMonitor: EndpointMonitorState;
    readonly limits: WorkspaceLimits;
    /** Requests in flight, so that a drain can wait for them. */
    readonly inFlight: Set<RequestId>;
    /** Whether the host is shutting down, which makes it not ready. */
    draining: boolean;
}

export const createIncarnationId = (): IncarnationId => toIncarnationId(randomUUID());
export const createRequestId = (): RequestId => toRequestId(randomUUID());
export const createAttemptId = (): AttemptId => toAttemptId(randomUUID());
