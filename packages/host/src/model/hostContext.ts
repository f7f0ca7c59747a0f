/** What the parts of a host share. */
import type { Clocks, Configuration } from "@currantrill/core";
import type { TableClient } from "@currantrill/platform";
import type { AttemptId, IncarnationId, RequestId } from "@currantrill/protocol";
import { toAttemptId, toIncarnationId, toRequestId } from "@currantrill/protocol";
import type { HostSettings } from "@currantrill/settings";
import type Logger from "bunyan";
import { randomUUID } from "node:crypto";
import type { DataPath } from "./dataPath.js";
import type { HostMetrics } from "./hostMetrics.js";

export interface HostContext extends DataPath {
    readonly settings: HostSettings;
    readonly incarnation: IncarnationId;
    readonly log: Logger;
    readonly metrics: HostMetrics;
    readonly tables: TableClient;
    readonly configuration: ConfigurationHolder;
    /** Requests in flight, so that a drain can wait for them. */
    readonly inFlight: Set<RequestId>;
    draining: boolean;
}

/** The newest configuration that the host has seen. */
export interface ConfigurationHolder {
    current: Configuration;
    /** Start of the platform read that last confirmed it; `undefined` before the first. */
    confirmedAt: Clocks | undefined;
}

export const createIncarnationId = (): IncarnationId => toIncarnationId(randomUUID());
export const createRequestId = (): RequestId => toRequestId(randomUUID());
export const createAttemptId = (): AttemptId => toAttemptId(randomUUID());
