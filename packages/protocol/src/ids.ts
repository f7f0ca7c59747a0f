/** Branded identifier types, so that the compiler rejects an id of one kind where another kind is expected. */

declare const brand: unique symbol;

/** A value of type `T` that is created only by the matching `to…` function. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name; };

export type HostId = Branded<string, "HostId">;
/** Identifies one run of a host process. A restarted or replaced host has a new incarnation. */
export type IncarnationId = Branded<string, "IncarnationId">;
export type FailureDomainId = Branded<string, "FailureDomainId">;
export type WorkspaceId = Branded<string, "WorkspaceId">;
export type EndpointId = Branded<string, "EndpointId">;
export type PoolId = Branded<string, "PoolId">;
export type ModelId = Branded<string, "ModelId">;
export type ServiceId = Branded<string, "ServiceId">;
export type RequestId = Branded<string, "RequestId">;
/** Identifies one attempt to execute a request on an endpoint, or a write on the platform. */
export type AttemptId = Branded<string, "AttemptId">;
export type AllocationId = Branded<string, "AllocationId">;
export type IdempotencyKey = Branded<string, "IdempotencyKey">;
export type TicketNumber = Branded<number, "TicketNumber">;
/** Position of a configuration in the platform's total order, starting at 1. */
export type Revision = Branded<number, "Revision">;
/** Fencing token of a lease. It increases with each new lease, so that orders of an earlier holder can be rejected. */
export type FencingToken = Branded<number, "FencingToken">;

export const toHostId = (text: string): HostId => text as HostId;
export const toIncarnationId = (text: string): IncarnationId => text as IncarnationId;
export const toFailureDomainId = (text: string): FailureDomainId => text as FailureDomainId;
export const toWorkspaceId = (text: string): WorkspaceId => text as WorkspaceId;
export const toEndpointId = (text: string): EndpointId => text as EndpointId;
export const toPoolId = (text: string): PoolId => text as PoolId;
export const toModelId = (text: string): ModelId => text as ModelId;
export const toServiceId = (text: string): ServiceId => text as ServiceId;
export const toRequestId = (text: string): RequestId => text as RequestId;
export const toAttemptId = (text: string): AttemptId => text as AttemptId;
export const toAllocationId = (text: string): AllocationId => text as AllocationId;
export const toIdempotencyKey = (text: string): IdempotencyKey => text as IdempotencyKey;
export const toTicketNumber = (value: number): TicketNumber => value as TicketNumber;
export const toRevision = (value: number): Revision => value as Revision;
export const toFencingToken = (value: number): FencingToken => value as FencingToken;
