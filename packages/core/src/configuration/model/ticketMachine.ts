/**
 * Interface of the state machine that applies one ticket. A driver starts it with `beginTicket`, carries out the
 * effects and passes each result to `advanceTicket`. Events with an operation number that is not awaited are ignored.
 */
import type { AttemptId, Revision } from "@currantrill/protocol";
import type { Clocks } from "@currantrill/protocol";
import type { Configuration, Ticket } from "../../model/configuration.js";
import type { Finding } from "../../model/finding.js";
import type { TicketChange } from "../queries/planTicket.js";
import type { PlatformConfiguration, TicketRow } from "./ticketRows.js";

/** Request of an operator to apply a ticket: one change of the configuration. */
export interface TicketRequest {
    readonly ticket: Ticket;
    /** Unique to this request on this host. */
    readonly attempt: AttemptId;
    /** Time from `beginTicket` within which the operator is answered. */
    readonly timeoutMs: number;
}

/** Answer to the operator. */
export type TicketResult =
    | {
        readonly outcome: "applied";
        readonly revision: Revision;
        readonly changes: readonly TicketChange[];
        /** Findings of `planTicket` that did not refuse the ticket; none if it had been applied before. */
        readonly warnings: readonly Finding[];
        /** Whether the ticket had been applied before, by this or an earlier request. */
        readonly alreadyApplied: boolean;
    }
    /** Nothing of the ticket was applied. */
    | { readonly outcome: "refused"; readonly code: TicketRefusalCode; readonly findings: readonly Finding[]; }
    /** The platform did not answer in time. The ticket may have been applied; sending it again shows whether it was. */
    | { readonly outcome: "outcome_unknown"; };

/** `conflict`: another ticket set the object or took the number. `invalid`: the ticket itself is wrong. */
export type TicketRefusalCode = "invalid" | "conflict" | "platform_unavailable";

/** Action that the machine requests from its driver. */
export type TicketEffect =
    /** Reads `head`, its revision and `ticket/<number>`. `head` comes first, so that the others are not older. */
    | { readonly type: "readPlatform"; readonly operation: number; }
    /** One transaction on `head` (at `headVersion`), `revision/<n>` and `ticket/<number>` (both absent). */
    | {
        readonly type: "writeTicket";
        readonly operation: number;
        readonly headVersion: number;
        readonly next: Configuration;
        readonly row: TicketRow;
    }
    /** The driver answers with `timerFired`. */
    | { readonly type: "wait"; readonly operation: number; readonly delayMs: number; }
    /** The ticket is applied; the host adopts the configuration and announces it to its peers. */
    | { readonly type: "adopt"; readonly configuration: Configuration; }
    /** Appears exactly once, and is the last effect. */
    | { readonly type: "answerOperator"; readonly result: TicketResult; };

/** Result of an effect, passed to `advanceTicket`. */
export type TicketEvent =
    | { readonly type: "platformRead"; readonly operation: number; readonly platform: PlatformConfiguration; }
    | { readonly type: "readFailed"; readonly operation: number; }
    | { readonly type: "ticketWritten"; readonly operation: number; }
    | { readonly type: "ticketConflict"; readonly operation: number; }
    /** The store rejected the write without executing it. */
    | { readonly type: "writeRefused"; readonly operation: number; }
    /** No response. The write may have taken effect, or may do so later. */
    | { readonly type: "writeLost"; readonly operation: number; }
    | { readonly type: "timerFired"; readonly operation: number; };

/** Write that the machine has planned from the last read of the platform. */
export interface PlannedTicket {
    /** Version of `head` on which the write depends. */
    readonly headVersion: number;
    readonly next: Configuration;
    readonly changes: readonly TicketChange[];
    readonly warnings: readonly Finding[];
}

export interface TicketState {
    readonly request: TicketRequest;
    readonly startedAt: Clocks;
    readonly operation: number;
    readonly deadlineOperation: number;
    readonly nextOperation: number;
    readonly phase: "reading" | "writing" | "pausing" | "ended";
    /** Configuration and changes of the latest write. */
    readonly planned: PlannedTicket | undefined;
    /** Head version of a write whose response was lost. It can take effect only while `head` has this version. */
    readonly lostWriteVersion: number | undefined;
    /** Delay before the next read of the platform. */
    readonly retryDelayMs: number;
}

export interface TicketStep {
    readonly state: TicketState;
    readonly effects: readonly TicketEffect[];
}
