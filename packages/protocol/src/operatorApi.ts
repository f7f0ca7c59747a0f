/** HTTP API for operators. Every route below `/admin` requires the operator key as a bearer token. */
import { z } from "zod";

/** Body of `POST /admin/tickets` and `POST /admin/tickets/plan`. */
export const ticketBodySchema = z.object({
    /** The ticket as TOML text. */
    text: z.string(),
    /** File name used in findings. */
    source: z.string().default("request"),
});
export type TicketBody = z.infer<typeof ticketBodySchema>;

/** Body of `POST /admin/stops`. */
export const stopBodySchema = z.object({ endpoint: z.string().min(1), reason: z.string().min(1) });
export type StopBody = z.infer<typeof stopBodySchema>;

/** One defect in an input, with what was found and what is expected; the form of the core's `Finding` in responses. */
export interface OperatorFinding {
    readonly source: string;
    readonly path: string;
    readonly line?: number;
    readonly found: string;
    readonly expected: string;
}

/** Machine-readable reason of an error response to an operator. */
export type OperatorErrorCode =
    | "invalid"
    | "conflict"
    | "platform_unavailable"
    | "outcome_unknown"
    | "unknown_operator"
    | "not_found";

/** Body of every error response. */
export interface OperatorError {
    readonly error: { readonly code: OperatorErrorCode; readonly message: string; };
    readonly findings: readonly OperatorFinding[];
}

/** Change of one configuration object, with its values before and after. */
export interface PlannedChange {
    readonly key: string;
    readonly action: "create" | "replace" | "remove";
    /** Fields whose values differ; all of them for a created or removed object. */
    readonly fields: readonly { readonly field: string; readonly before: unknown; readonly after: unknown; }[];
}

/** Response of `POST /admin/tickets/plan`. */
export interface PlanAnswer {
    readonly ticket: number;
    /** Configuration revision that the plan is based on. */
    readonly base: number;
    /** Revision that the ticket created, if it has been applied already. */
    readonly appliedAs: number | undefined;
    readonly changes: readonly PlannedChange[];
    /** What the ticket leads to that may not be intended; it is applied all the same. */
    readonly warnings: readonly OperatorFinding[];
}

/** Response of `POST /admin/tickets`. */
export interface ApplyAnswer {
    readonly ticket: number;
    readonly revision: number;
    readonly alreadyApplied: boolean;
    readonly changes: readonly { readonly key: string; readonly action: string; }[];
    /** As in `PlanAnswer`; none if the ticket had been applied before. */
    readonly warnings: readonly OperatorFinding[];
}

/** State of a host as known to the responding host. */
export interface HostStatus {
    readonly host: string;
    readonly failureDomain: string;
    readonly peerAddress: string;
    readonly state: "live" | "suspect" | "leaving";
    /** Whether the host is in the platform's host list. */
    readonly listed: boolean;
    /** Newest configuration revision that the host has reported; `undefined` if none was received. */
    readonly revision: number | undefined;
    /** Milliseconds since the last message that showed the host to be alive. */
    readonly heardMsAgo: number;
}

/** Response of `GET /admin/hosts`. */
export interface HostsAnswer {
    readonly revision: number;
    readonly hosts: readonly HostStatus[];
}

/** Response of `GET /admin/tickets/<number>`. */
export interface TicketStatus {
    readonly ticket: number;
    readonly summary: string;
    readonly revision: number;
    /** Time stamp in ISO 8601 format. */
    readonly appliedAt: string;
    /** Whether the revision or a higher one is active on every live host. */
    readonly inForceEverywhere: boolean;
    readonly hosts: readonly (HostStatus & { readonly inForce: boolean; })[];
}

/** Response of `GET /admin/tickets`, newest ticket first. */
export interface TicketHistory {
    readonly tickets: readonly {
        readonly ticket: number;
        readonly summary: string;
        readonly revision: number;
        readonly appliedAt: string;
    }[];
}

/** Host on which the state of a failure domain is in force or not. */
export interface DomainHostStatus {
    readonly host: string;
    readonly failureDomain: string;
    readonly state: HostStatus["state"];
    /** `undefined` if the responding host does not know. */
    readonly inForce: boolean | undefined;
}

/** State of a failure domain that has endpoints, or that a ticket has named. */
export interface DomainStatus {
    readonly domain: string;
    readonly state: "evacuated" | "in_service";
    /** Ticket that last set the state; 0 if none did. */
    readonly ticket: number;
    /** Number of configured endpoints in the domain. */
    readonly endpoints: number;
    /** Empty if no ticket has named the domain. */
    readonly hosts: readonly DomainHostStatus[];
}

/** Response of `GET /admin/domains`. */
export interface DomainsAnswer {
    /** `platform`: the newest state. `host`: what is in force on the responding host, as the platform does not respond. */
    readonly source: "platform" | "host";
    readonly revision: number;
    /** Ticket number that is believed to be free; `undefined` if the platform does not respond. */
    readonly nextTicket: number | undefined;
    readonly domains: readonly DomainStatus[];
    /** What may not be intended, such as an evacuated domain without endpoints. */
    readonly warnings: readonly OperatorFinding[];
}

/** Response of `POST /admin/stops`. */
export interface StopAnswer {
    readonly endpoint: string;
    readonly lendEpoch: number;
    /** Number of live hosts that the stop is being sent to, including the responding host. */
    readonly hosts: number;
}
