import type { IncomingHttpHeaders } from "node:http";

/** Values of a caller's request headers. */
export interface CallerHeaders {
    readonly requestId?: string;
    /** Time that the caller waits for the answer, in milliseconds. */
    readonly deadlineMs?: number;
    /** Value of the authorization header. */
    readonly authorization?: string;
    /** Id of the last event that the caller has received, if it resumes a stream. */
    readonly lastEventId?: number;
    /** Length of the prompt in tokens. */
    readonly promptTokens?: number;
    /** Estimate of the answer's length in tokens. */
    readonly answerTokens?: number;
    /**
     * Ids of the prompt's parts that other requests may share, in the order of the prompt. The part that belongs to the
     * request or its session alone is not listed.
     */
    readonly sharedParts?: readonly string[];
}

/** Protocol between callers and hosts, as the platform defines it. */
export interface CallerProtocol {
    /** Parses the headers of a caller's request. */
    parseHeaders(headers: IncomingHttpHeaders): CallerHeaders;
    /** Builds the headers that identify the request in a response that the host itself generates. */
    buildResponseHeaders(requestId: string): Readonly<Record<string, string>>;
    /** Path of the readiness check that the load balancer polls. */
    readonly readinessPath: string;
}
