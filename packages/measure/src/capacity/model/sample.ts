/** What was measured on the hosts of one running system. */

/** One host over one window. Rates are per second. */
export interface HostSample {
    readonly bytes: number;
    readonly messages: number;
    /** Percent of a core. */
    readonly processor: number;
    readonly megabytes: number;
}

export interface WindowSample {
    readonly hostsPerDomain: number;
    readonly domains: number;
    /** Engines of one domain whose reports the hosts poll. */
    readonly endpointsPerDomain: number;
    readonly mean: HostSample;
    /** Largest value of each figure over the hosts; bytes and messages are those of relays. */
    readonly largest: HostSample;
}

export interface SizeSample {
    readonly hosts: number;
    readonly before: WindowSample;
    /** With the additional endpoints and workspaces. */
    readonly after: WindowSample;
    /** Time until the ticket with the additional objects was in force on all hosts, in milliseconds. */
    readonly ticketMs: number;
}

export const figures = ["bytes", "messages", "processor", "megabytes"] as const;
export type Figure = (typeof figures)[number];
