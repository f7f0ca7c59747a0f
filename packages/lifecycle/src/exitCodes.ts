/** Exit codes of a host's process. The runtime's own ones are in docs/OPERATIONS.md. */
export const exitCodes = {
    stopped: 0,
    invalidSettings: 2,
    addressUnavailable: 3,
    startFailed: 4,
    startTimedOut: 5,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
