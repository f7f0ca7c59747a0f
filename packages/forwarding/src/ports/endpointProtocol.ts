import type { WorkspaceId } from "@currantrill/protocol";

/** What a host adds to the headers of a request that it forwards. */
export interface AttemptHeaders {
    /** Remaining time until the request's deadline, in milliseconds. */
    readonly deadlineMs: number;
    /** Expected endpoint. Another endpoint that has taken over the address rejects the request. */
    readonly endpointId: string;
    readonly workspace?: WorkspaceId;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Id of the last event that the caller has received, for a resumed stream. */
    readonly lastEventId?: number;
    /** Prefill shards at helper endpoints; empty if the prefill is not sharded. */
    readonly prefillShards: readonly PrefillShard[];
}

/** A helper endpoint that prefills a shard of the prompt. */
export interface PrefillShard {
    /** IP address and port of the helper endpoint. */
    readonly address: string;
    /** Memory reservation for the shard at the helper endpoint; absent if it needs none. */
    readonly reservationId?: string;
}

/** What an endpoint states about itself in a response, whatever request it answers. */
export interface EndpointNotice {
    /** Requests a second that the endpoint takes from all hosts together; absent if it names no valid limit. */
    readonly requestsPerSecond?: number;
    /** Value of a limit that is not valid. It neither sets a limit nor ends one. */
    readonly invalidLimit?: string;
    /** Whether the endpoint is about to end, and wants no further requests. */
    readonly isLeaving: boolean;
    /** Time in which the endpoint wants no further request of this host, in milliseconds. */
    readonly pauseMs?: number;
    /** Time for which the endpoint is still cold, in milliseconds; 0 if it is warm, absent if it does not say. */
    readonly coldRemainingMs?: number;
    /** Value of a cold time that is not valid. */
    readonly invalidCold?: string;
}

/** Metadata of an endpoint's response, from its status and headers. */
export interface ResponseMetadata {
    readonly requestId?: string;
    /** Whether the endpoint states that it did not run the request. */
    readonly isNotExecuted: boolean;
    /** Whether another endpoint now has the address and rejected the request. */
    readonly isMisdirected: boolean;
    /** Whether the response carries an endpoint's signature header. */
    readonly isSigned: boolean;
    /** Whether the body has a content encoding, such as compression. */
    readonly isEncoded: boolean;
    /** Address of the endpoint at fault if it is another one, such as a helper. */
    readonly faultAddress?: string;
    readonly notice: EndpointNotice;
}

/** A request to an endpoint to reserve memory. */
export interface ReservationOrder {
    /** Id of the reservation, unique among all hosts. */
    readonly id: string;
    /** Memory to reserve, in tokens. */
    readonly tokens: number;
    /** Time after which the reservation expires unless it is renewed. */
    readonly holdMs: number;
}

/** An HTTP request that the host itself makes to an endpoint. */
export interface EndpointCall {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: string;
}

/** An endpoint's report of its state. */
export interface EndpointReport {
    /** Time of the endpoint's work relative to its published figures; above 1 it is slow. */
    readonly slowdown?: number;
}

/** Protocol between hosts and endpoints, as the platform defines it. */
export interface EndpointProtocol {
    /** Header names, in lower case, that only hosts may set. They are removed from callers' requests. */
    readonly reservedHeaders: ReadonlySet<string>;
    /**
     * Header names, in lower case, of conditions that callers may set. An endpoint that does not meet one refuses the
     * request like one that is meant for another endpoint.
     */
    readonly conditionHeaders: ReadonlySet<string>;
    /** Builds the headers that the host adds to an attempt. */
    buildHeaders(attempt: AttemptHeaders): Readonly<Record<string, string>>;
    /** Parses the status and headers of a response. */
    parseResponse(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): ResponseMetadata;
    /** Builds the request that reserves memory, or renews the reservation with the same id. */
    buildReservation(order: ReservationOrder): EndpointCall;
    /** Builds the request that releases a reservation. */
    buildRelease(reservationId: string): EndpointCall;
    /** Builds the probe for an endpoint's report, which takes no slot. */
    buildReport(): EndpointCall;
    /**
     * Parses the response to a probe. The report is empty if the body is invalid, since any response shows that the
     * endpoint is responsive.
     */
    parseReport(body: Buffer): EndpointReport;
}
