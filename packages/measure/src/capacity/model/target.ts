/** Sizes and budgets of section 1 of the design page. */
export const target = {
    hosts: 340,
    domains: 6,
    endpoints: 780,
    workspaces: 930,
    changesPerDay: 970,
    requestsPerSecond: 3_600,
    budgets: { bytes: 19_000, processor: 2, megabytes: 128, ticketMs: 16_000 },
} as const;
