/**
 * The history of one run: who did what, when it was called and answered, and what the stand-ins really did. Times are
 * true virtual time in milliseconds; no host can read that clock.
 */
import type { Outcome } from "@currantrill/protocol";

/** How an operation ended for whoever asked for it. `broken` is a connection that closed without an answer. */
export type OperationOutcome = Outcome | "applied" | "refused" | "broken";

export type HistoryFact =
    | {
        readonly type: "called";
        readonly operation: string;
        readonly host: string;
        readonly action: "call" | "ticket" | "prompt";
        /** Idempotency key of a call, or number of a ticket. */
        readonly key: string;
        readonly payload: string;
        readonly deadlineMs: number;
    }
    | {
        readonly type: "answered";
        readonly operation: string;
        readonly outcome: OperationOutcome;
        /** Answer body of a call; revision of an applied ticket. */
        readonly body: string;
    }
    /** The first byte of a call left the host. */
    | { readonly type: "sent"; readonly operation: string; readonly host: string; }
    /** Entry of a stand-in's ledger. `standinSeq` counts from 1 in each stand-in. */
    | {
        readonly type: "executed";
        readonly standin: string;
        readonly standinSeq: number;
        readonly operation: string;
        readonly key: string;
        readonly payload: string;
    }
    | { readonly type: "started" | "killed" | "paused" | "resumed" | "draining" | "exited"; readonly host: string; }
    /** A fault begins or ends that keeps the host, or every host, from the platform, its peers or the endpoints. */
    | {
        readonly type: "cut" | "healed";
        /** `undefined` for every host. */
        readonly host: string | undefined;
        readonly from: "platform" | "peers" | "endpoint";
    }
    /** The wall clock of a host jumped. */
    | { readonly type: "clockStepped"; readonly host: string; }
    /** A configuration came into force on a host. `content` is its canonical text. */
    | { readonly type: "adopted"; readonly host: string; readonly revision: number; readonly content: string; }
    /** The platform committed a revision for an operation. */
    | {
        readonly type: "committed";
        readonly revision: number;
        readonly ticket: number;
        readonly operation: string;
        readonly content: string;
    }
    | { readonly type: "ready"; readonly host: string; }
    /** An operator stopped an endpoint on a host, at this lend epoch. */
    | { readonly type: "stopped"; readonly host: string; readonly endpoint: string; readonly lendEpoch: number; }
    /** The endpoint itself reports that its owner wants it back, or lends it again. */
    | { readonly type: "withdrawn" | "returned"; readonly endpoint: string; }
    /** A stop (with its lend epoch) or a report of the withdrawal (0) has reached a host. */
    | {
        readonly type: "reclaimSeen";
        readonly host: string;
        readonly endpoint: string;
        readonly means: "stop" | "report";
        readonly lendEpoch: number;
    }
    /** A host sent new work to an endpoint, or found that it may not. */
    | { readonly type: "used" | "unused"; readonly host: string; readonly endpoint: string; }
    /** An engine holds this much memory for an allocation; 0 once it is gone. */
    | {
        readonly type: "held";
        readonly standin: string;
        readonly allocation: string;
        readonly tokens: number;
        readonly cause: "allocated" | "expired" | "releasedByOwner" | "releasedBySweeper";
    }
    /** An attempt begins or ends to be entitled to its allocations. */
    | { readonly type: "attemptBegan" | "attemptEnded"; readonly host: string; readonly attempt: string; }
    /** A prompt begins an attempt on an engine, giving up the one before, or drops a token that it has delivered. */
    | { readonly type: "streamAttempt" | "repeated"; readonly operation: string; readonly attempt: string; }
    /** A token was passed to the caller. `request` is the request that the engine made it for. */
    | {
        readonly type: "token";
        readonly operation: string;
        readonly attempt: string;
        readonly index: number;
        readonly request: string;
    }
    /** Control messages that a host sent since the last event of this type. */
    | { readonly type: "messages"; readonly host: string; readonly count: number; }
    /** A quantity that a host granted to a workspace in one second. */
    | { readonly type: "granted"; readonly host: string; readonly workspace: string; readonly tokens: number; }
    /** Last event of a complete history. */
    | { readonly type: "finished"; };

export type HistoryEvent = HistoryFact & { readonly seq: number; readonly atMs: number; };
export type EventOfType<T extends HistoryFact["type"]> = HistoryEvent & { readonly type: T; };
export type History = readonly HistoryEvent[];

export interface HistoryRecorder {
    readonly events: HistoryEvent[];
    readonly record: (fact: HistoryFact) => void;
}

export function createHistoryRecorder(getNowMs: () => number): HistoryRecorder {
    const events: HistoryEvent[] = [];
    return {
        events,
        record: fact => {
            events.push({ ...fact, seq: events.length + 1, atMs: getNowMs() });
        },
    };
}

/** Selects the events of one type. */
export function listEvents<T extends HistoryFact["type"]>(history: History, type: T): EventOfType<T>[] {
    return history.filter((event): event is EventOfType<T> => event.type === type);
}

/** Groups values by a text, in the order of their first appearance. */
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
