/** What a command found, in a form for people and one for programs. */
import { type Finding, formatFinding } from "@currantrill/core";

export const exitCodes = {
    done: 0,
    /** The host refused, or another ticket is in the way. */
    refused: 1,
    /** The input is wrong; nothing was applied. */
    invalid: 2,
    /** No host, or the platform, could be reached; nothing was applied. */
    unreachable: 3,
    /** The request may have taken effect. */
    unknown: 4,
} as const;
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

export interface Report {
    readonly exitCode: ExitCode;
    /** Printed with `--json`. */
    readonly data: unknown;
    /** Printed otherwise. */
    readonly text: string;
}

/** Reports findings in an input. */
export function createFindingsReport(findings: readonly Finding[]): Report {
    return {
        exitCode: exitCodes.invalid,
        data: { error: { code: "invalid" }, findings },
        text: findings.map(formatFinding).join("\n"),
    };
}
