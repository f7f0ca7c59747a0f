/** A call of a plain service, as the caller sent it. */
import type { EndpointObject, ServiceObject } from "@currantrill/core";
import type { IdempotencyKey } from "@currantrill/protocol";
import type { RequestScope } from "../../callers/model/requestScope.js";

export interface ServiceCall {
    readonly scope: RequestScope;
    readonly service: ServiceObject;
    /** Endpoints that may serve it. */
    readonly endpoints: readonly EndpointObject[];
    readonly method: string;
    /** Path and query below the service, unchanged. */
    readonly target: string;
    /** Headers to pass on. */
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer;
    readonly idempotencyKey: IdempotencyKey | undefined;
    /** Method and path prefix of the operation. */
    readonly operation: string;
    readonly idempotent: boolean;
}

/** Answer of a service, or the stored one of an earlier call with the same key. */
export interface ServiceAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer;
}
