/** Results of commands, as text for people and as data for programs. */
import { type Finding, formatFinding } from "@currantrill/core";

/** Exit codes of the command. */
export const exitCodes = {
    done: 0,
    /** The host refused the request, or the ticket conflicts with another one. */
    refused: 1,
    /** The input is invalid; nothing was applied. */
    invalid: 2,
    /** No host is reachable, or the platform is not; nothing was applied. */
    unreachable: 3,
    /** The outcome is unknown: the request may have taken effect. */
    unknown: 4,
} as const;
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** Result of a command. */
export interface Report {
    readonly exitCode: ExitCode;
    /** Value printed as JSON with `--json`. */
    readonly data: unknown;
    /** Text printed without `--json`. */
    readonly text: string;
}

/** Creates the report on an invalid input, with one line for each finding. */
export function createFindingsReport(findings: readonly Finding[]): Report {
    return {
        exitCode: exitCodes.invalid,
        data: { error: { code: "invalid" }, findings },
        text: findings.map(formatFinding).join("\n"),
    };
}
