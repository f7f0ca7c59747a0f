import type { IncomingHttpHeaders } from "node:http";

/** What a caller's headers say. */
export interface CallerFacts {
    readonly requestId?: string;
    /** Time that the caller waits, in milliseconds. */
    readonly deadlineMs?: number;
    readonly authorization?: string;
    /** Id of the last event that a caller who resumes has received. */
    readonly lastEventId?: number;
    readonly promptTokens?: number;
    /** Estimate of the answer's length in tokens. */
    readonly answerTokens?: number;
}

export interface CallerProtocol {
    parseHeaders(headers: IncomingHttpHeaders): CallerFacts;
    /** Headers that name the request in an answer of the host's own. */
    buildAnswerHeaders(requestId: string): Readonly<Record<string, string>>;
    /** Path that the load balancer polls. */
    readonly readinessPath: string;
}
