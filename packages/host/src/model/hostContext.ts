/** What the parts of a host share. */
import type { AttemptId, IncarnationId, RequestId } from "@currantrill/protocol";
import { toAttemptId, toIncarnationId, toRequestId } from "@currantrill/protocol";
import type { HostSettings } from "@currantrill/settings";
import type { HostListClient, TableClient } from "@currantrill/store";
import type Logger from "bunyan";
import { randomUUID } from "node:crypto";
import type { ConfigurationHolder } from "../configuration/model/configurationHolder.js";
import type { WorkspaceLimits } from "../limits/model/workspaceLimits.js";
import type { Fleet } from "../peers/model/fleet.js";
import type { EndpointViews } from "../watching/model/endpointViews.js";
import type { DataPath } from "./dataPath.js";
import type { HostMetrics } from "./hostMetrics.js";

export interface HostContext extends DataPath {
    readonly settings: HostSettings;
    readonly incarnation: IncarnationId;
    readonly log: Logger;
    readonly metrics: HostMetrics;
    readonly tables: TableClient;
    readonly hostList: HostListClient;
    readonly configuration: ConfigurationHolder;
    readonly fleet: Fleet;
    readonly endpointViews: EndpointViews;
    readonly limits: WorkspaceLimits;
    /** Requests in flight, so that a drain can wait for them. */
    readonly inFlight: Set<RequestId>;
    draining: boolean;
}

export const createIncarnationId = (): IncarnationId => toIncarnationId(randomUUID());
export const createRequestId = (): RequestId => toRequestId(randomUUID());
export const createAttemptId = (): AttemptId => toAttemptId(randomUUID());
