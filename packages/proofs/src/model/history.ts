/**
 * The history of one simulated run, which checkers examine: the operations with their calls and answers, what the
 * stand-ins executed, and the faults. Times are in milliseconds of the simulation's virtual time. No host can read it;
 * a host sees only its own wall and monotonic clocks.
 */
import type { Outcome } from "@currantrill/protocol";

/** How an operation ended for its caller. `broken` means that the connection closed without an answer. */
export type OperationOutcome = Outcome | "applied" | "refused" | "broken";

/** The content of an event, without its number and time. */
export type EventData =
    /** A caller or an operator starts an operation on a host. */
    | {
        readonly type: "called";
        readonly operation: string;
        readonly host: string;
        readonly action: "call" | "ticket" | "prompt";
        /** Idempotency key of a call, number of a ticket, or the operation of a prompt. */
        readonly key: string;
        /** Request body of a call, action of a ticket, or number of tokens of a prompt's answer. */
        readonly payload: string;
        readonly deadlineMs: number;
    }
    /** An operation ended. */
    | {
        readonly type: "answered";
        readonly operation: string;
        readonly outcome: OperationOutcome;
        /** Answer body or error code of a call, revision of an applied ticket, or number of a prompt's tokens. */
        readonly body: string;
    }
    /** A host sent the first byte of a call to the service. */
    | { readonly type: "sent"; readonly operation: string; readonly host: string; }
    /** An entry in a stand-in's execution ledger. `standinSeq` counts from 1 in each stand-in. */
    | {
        readonly type: "executed";
        readonly standin: string;
        readonly standinSeq: number;
        readonly operation: string;
        readonly key: string;
        readonly payload: string;
    }
    /** A state change of a host's process. A paused process receives no event until it is resumed. */
    | { readonly type: "started" | "killed" | "paused" | "resumed" | "draining" | "exited"; readonly host: string; }
    /** A fault that keeps one host or every host from the platform, its peers or the endpoints begins or ends. */
    | {
        readonly type: "disconnected" | "reconnected";
        /** The affected host; `undefined` if every host is affected. */
        readonly host: string | undefined;
        readonly from: "platform" | "peers" | "endpoint";
    }
    /** The wall clock of a host was stepped forwards or backwards. */
    | { readonly type: "clockStepped"; readonly host: string; }
    /** A host adopted a configuration. `content` is the configuration as JSON. */
    | { readonly type: "adopted"; readonly host: string; readonly revision: number; readonly content: string; }
    /** The platform committed a revision of the configuration for a ticket. `operation` sent the ticket. */
    | {
        readonly type: "committed";
        readonly revision: number;
        readonly ticket: number;
        readonly operation: string;
        readonly content: string;
    }
    /** A starting host has collected enough state to serve. */
    | { readonly type: "ready"; readonly host: string; }
    /** An operator ordered a host to stop using an endpoint. The order covers lendings up to this lend epoch. */
    | { readonly type: "stopped"; readonly host: string; readonly endpoint: string; readonly lendEpoch: number; }
    /** The endpoint begins or ceases to report that its owner has withdrawn it. */
    | { readonly type: "withdrawn" | "returned"; readonly endpoint: string; }
    /** A host learned of a stop (with its lend epoch) or of the endpoint's report of its withdrawal (lend epoch 0). */
    | {
        readonly type: "reclaimSeen";
        readonly host: string;
        readonly endpoint: string;
        readonly via: "stop" | "report";
        readonly lendEpoch: number;
    }
    /** A host sent new work to an endpoint, or the lending rules did not allow it. */
    | { readonly type: "used" | "unused"; readonly host: string; readonly endpoint: string; }
    /** An engine now holds this many tokens of memory for an allocation; 0 after its release or expiry. */
    | {
        readonly type: "held";
        readonly standin: string;
        readonly allocation: string;
        readonly tokens: number;
        readonly cause: "allocated" | "expired" | "releasedByOwner" | "releasedBySweeper";
    }
    /** An attempt starts to use its allocations, or stops using them. */
    | { readonly type: "attemptBegan" | "attemptEnded"; readonly host: string; readonly attempt: string; }
    /** A prompt starts an attempt, which replaces the previous one, or drops a token that was already delivered. */
    | { readonly type: "streamAttempt" | "repeated"; readonly operation: string; readonly attempt: string; }
    /** A token was delivered to the caller. `request` is the request for which the engine generated it. */
    | {
        readonly type: "token";
        readonly operation: string;
        readonly attempt: string;
        readonly index: number;
        readonly request: string;
    }
    /** Number of control messages that a host sent since its last event of this type. */
    | { readonly type: "messages"; readonly host: string; readonly count: number; }
    /** A host's new share of a workspace's entitlement, as a fraction of the whole. */
    | { readonly type: "share"; readonly host: string; readonly fraction: number; }
    /** Last event of every complete history. */
    | { readonly type: "finished"; };

/** An event with its sequence number, which counts from 1, and its virtual time. */
export type HistoryEvent = EventData & { readonly seq: number; readonly atMs: number; };
/** Events of one type, or of a union of types. */
export type EventOfType<T extends EventData["type"]> = HistoryEvent & { readonly type: T; };
/** The events of one run in the order in which they were recorded. */
export type History = readonly HistoryEvent[];

/** Collects the events of one run. */
export interface HistoryRecorder {
    readonly events: HistoryEvent[];
    readonly record: (event: EventData) => void;
}

/** Creates a recorder that takes the time of each event from `getNowMs`. */
export function createHistoryRecorder(getNowMs: () => number): HistoryRecorder {
    const events: HistoryEvent[] = [];
    return {
        events,
        record: event => {
            events.push({ ...event, seq: events.length + 1, atMs: getNowMs() });
        },
    };
}

export function listEvents<T extends EventData["type"]>(history: History, type: T): EventOfType<T>[] {
    return history.filter((event): event is EventOfType<T> => event.type === type);
}

/** Groups values by a key. Groups and their values keep the order in which they first appear. */
export function splitBy<T>(values: readonly T[], getKey: (value: T) => string): Map<string, T[]> {
    const groups = new Map<string, T[]>();
    for (const value of values) {
        const key = getKey(value);
        const group = groups.get(key) ?? [];
        group.push(value);
        groups.set(key, group);
    }
    return groups;
}
