/**
 * Target size of a deployment, and resource budgets at that size. Budgets are for one host: bytes of control messages
 * per second, percent of a core and megabytes; `ticketMs` is the time until a ticket is in force on all hosts.
 */
export const target = {
    hosts: 340,
    domains: 6,
    endpoints: 780,
    workspaces: 930,
    changesPerDay: 970,
    requestsPerSecond: 3_600,
    budgets: { bytes: 19_000, processor: 2, megabytes: 128, ticketMs: 16_000 },
} as const;
