/** Requests to plain services and their responses. */
import type { EndpointObject, ServiceObject } from "@currantrill/core";
import type { IdempotencyKey } from "@currantrill/protocol";
import type { RequestScope } from "../../callers/model/requestScope.js";

/** A caller's request to a plain service, with what the configuration says about it. */
export interface ServiceCall {
    readonly scope: RequestScope;
    readonly service: ServiceObject;
    /** Endpoints of the service's pool that the workspace may use. */
    readonly endpoints: readonly EndpointObject[];
    readonly method: string;
    /** Path and query below the service, unchanged. */
    readonly target: string;
    /** Headers to forward. */
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer;
    readonly idempotencyKey: IdempotencyKey | undefined;
    /**
     * Method and declared path prefix of the operation, or the request's own path if none is declared. Part of the row
     * key.
     */
    readonly operation: string;
    /** Whether the operation is declared safe to repeat. */
    readonly idempotent: boolean;
}

/** Complete response of a service, or the stored response of an earlier call with the same idempotency key. */
export interface ServiceAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer;
}
