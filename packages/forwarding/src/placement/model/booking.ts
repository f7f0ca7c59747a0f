/** Work that a host has sent to an endpoint, as hosts tell each other. */
export interface Booking {
    /** Unique on its host while the host's process lives. */
    readonly id: number;
    readonly endpointId: string;
    /** Memory in tokens that the work takes there when it is complete. */
    readonly memoryTokens: number;
    /** Prompt tokens that are read there. */
    readonly readTokens: number;
    /** Endpoints that read the prompt in even parts, 1 for a whole prompt. */
    readonly parts: number;
    /** Time to read them on an idle endpoint with the published figures. */
    readonly readMs: number;
    /** Time from the start until its first event is late. */
    readonly targetMs: number;
    /** Longest pause between events with which the answer is on time. */
    readonly targetPauseMs: number;
    /** Part of a prompt whose answer is written elsewhere. */
    readonly isPart: boolean;
    /** When it was sent, by the host's own steady clock. */
    readonly startedAtMs: number;
    /** When its prompt had been read. */
    readonly readAtMs?: number;
}
