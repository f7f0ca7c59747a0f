/** Measurements of the hosts of running systems. `--out` writes each `SizeSample` as one JSON line. */

/** Measurements of one host over one window. */
export interface HostSample {
    /** Bytes of control messages that were sent and received per second. */
    readonly bytes: number;
    /** Control messages that were sent and received per second. */
    readonly messages: number;
    /** Processor time, in percent of a core. */
    readonly processor: number;
    /** Resident memory at the end of the window. */
    readonly megabytes: number;
}

/** Measurements of all hosts of one system over one window. */
export interface WindowSample {
    readonly hostsPerDomain: number;
    readonly domains: number;
    /** Endpoints of one failure domain whose load reports the hosts poll. */
    readonly endpointsPerDomain: number;
    readonly mean: HostSample;
    /** Largest value of each metric over the hosts; bytes and messages are those of gateway hosts. */
    readonly largest: HostSample;
}

/** Measurements of a system of one size. */
export interface SizeSample {
    readonly hosts: number;
    readonly before: WindowSample;
    /** After the ticket that adds endpoints and workspaces. */
    readonly after: WindowSample;
    /** Time until that ticket was in force on all hosts, in milliseconds. */
    readonly ticketMs: number;
}

/** Keys of `HostSample`. */
export const hostMetrics = ["bytes", "messages", "processor", "megabytes"] as const;
export type HostMetric = (typeof hostMetrics)[number];
