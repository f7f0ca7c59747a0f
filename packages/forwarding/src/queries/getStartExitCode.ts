import { ADDRESS_ERROR, type ExitCode, exitCodes } from "@currantrill/lifecycle";

const codesByErrorName: Readonly<Record<string, ExitCode>> = { [ADDRESS_ERROR]: exitCodes.addressUnavailable };

/** Returns the exit code of a start that failed with an error. */
export const getStartExitCode = (error: unknown): ExitCode =>
    error instanceof Error ? codesByErrorName[error.name] ?? exitCodes.startFailed : exitCodes.startFailed;
