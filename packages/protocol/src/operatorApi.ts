/** The HTTP interface for operators. Every route below `/admin` takes the operator key as a bearer token. */
import { z } from "zod";

export const ticketBodySchema = z.object({
    /** Text of the ticket in TOML. */
    text: z.string(),
    /** File that findings name. */
    source: z.string().default("request"),
});
export type TicketBody = z.infer<typeof ticketBodySchema>;

export const stopBodySchema = z.object({ endpoint: z.string().min(1), reason: z.string().min(1) });
export type StopBody = z.infer<typeof stopBodySchema>;

/** One thing that is wrong, as in the core's `Finding`. */
export interface OperatorFinding {
    readonly source: string;
    readonly path: string;
    readonly line?: number;
    readonly found: string;
    readonly expected: string;
}

export type OperatorErrorCode =
    | "invalid"
    | "conflict"
    | "platform_unavailable"
    | "outcome_unknown"
    | "unknown_operator"
    | "not_found";

/** Body of every answer that is not a success. */
export interface OperatorError {
    readonly error: { readonly code: OperatorErrorCode; readonly message: string; };
    readonly findings: readonly OperatorFinding[];
}

/** Change of one object, with its state before and after. */
export interface PlannedChange {
    readonly key: string;
    readonly action: "create" | "replace" | "remove";
    /** Fields whose values differ; all of them for a created or removed object. */
    readonly fields: readonly { readonly field: string; readonly before: unknown; readonly after: unknown; }[];
}

/** Answer of `POST /admin/tickets/plan`. */
export interface PlanAnswer {
    readonly ticket: number;
    /** Revision that the plan is based on. */
    readonly base: number;
    /** Revision that the ticket already created, if it was applied earlier. */
    readonly appliedAs: number | undefined;
    readonly changes: readonly PlannedChange[];
}

/** Answer of `POST /admin/tickets`. */
export interface ApplyAnswer {
    readonly ticket: number;
    readonly revision: number;
    readonly alreadyApplied: boolean;
    readonly changes: readonly { readonly key: string; readonly action: string; }[];
}

/** A host as the answering host sees it. */
export interface HostStatus {
    readonly host: string;
    readonly failureDomain: string;
    readonly peerAddress: string;
    readonly state: "live" | "suspect" | "leaving";
    readonly listed: boolean;
    /** Newest revision that the host has reported; `undefined` if none has been heard. */
    readonly revision: number | undefined;
    /** Time since the last sign of life. */
    readonly heardMsAgo: number;
}

/** Answer of `GET /admin/hosts`. */
export interface HostsAnswer {
    readonly revision: number;
    readonly hosts: readonly HostStatus[];
}

/** Answer of `GET /admin/tickets/<number>`. */
export interface TicketStatus {
    readonly ticket: number;
    readonly summary: string;
    readonly revision: number;
    /** ISO 8601. */
    readonly appliedAt: string;
    /** Whether every live host has the revision or a higher one in force. */
    readonly inForceEverywhere: boolean;
    readonly hosts: readonly (HostStatus & { readonly inForce: boolean; })[];
}

/** Answer of `GET /admin/tickets`, the newest first. */
export interface TicketHistory {
    readonly tickets: readonly {
        readonly ticket: number;
        readonly summary: string;
        readonly revision: number;
        readonly appliedAt: string;
    }[];
}

/** Answer of `POST /admin/stops`. */
export interface StopAnswer {
    readonly endpoint: string;
    readonly lendEpoch: number;
    /** Live hosts that the stop is being sent to, the answering one included. */
    readonly hosts: number;
}
