import type { WorkspaceId } from "@currantrill/protocol";

/** What a host adds to a request that it passes on. */
export interface AttemptHeaders {
    /** Time left, in milliseconds. */
    readonly deadlineMs: number;
    /** Any other endpoint that has taken over the address rejects the request. */
    readonly endpointId: string;
    readonly workspace?: WorkspaceId;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly lastEventId?: number;
    readonly parts: readonly PromptPart[];
}

/** An endpoint that reads a part of the prompt. */
export interface PromptPart {
    readonly address: string;
    /** Memory reserved there for the part. */
    readonly reservationId?: string;
}

/** What an endpoint's response headers say. */
export interface AnswerFacts {
    readonly requestId?: string;
    /** The endpoint states that it did not run the request. */
    readonly isNotExecuted: boolean;
    /** The address belongs to another endpoint. */
    readonly isMisdirected: boolean;
    readonly isSigned: boolean;
    readonly isEncoded: boolean;
    /** Endpoint at fault where it is another one. */
    readonly faultAddress?: string;
}

export interface ReservationOrder {
    readonly id: string;
    readonly tokens: number;
    readonly holdMs: number;
}

export interface EndpointCall {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: string;
}

/** What an endpoint says of itself. */
export interface EndpointReport {
    /** Time of its work relative to the published figures; above 1 it is slow. */
    readonly pace?: number;
}

export interface EndpointProtocol {
    /** Header names, in lower case, that only the host sets. They are removed from what callers send. */
    readonly ownHeaders: ReadonlySet<string>;
    buildHeaders(attempt: AttemptHeaders): Readonly<Record<string, string>>;
    parseAnswer(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): AnswerFacts;
    /** Reserves memory, or renews the reservation with that id. */
    buildReservation(order: ReservationOrder): EndpointCall;
    buildRelease(reservationId: string): EndpointCall;
    /** Asks an endpoint for its state, which needs no slot. */
    buildReport(): EndpointCall;
    /** Reads an answer to `buildReport`; one that cannot be read says nothing but that the endpoint answers. */
    parseReport(body: Buffer): EndpointReport;
}
