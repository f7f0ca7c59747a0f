/** Errors of the platform clients. */
import VError from "verror";

/** `StoreUnavailable`: nothing was executed. `StoreAnswerLost`: a write may have taken effect. */
export type StoreErrorName = "StoreUnavailable" | "StoreAnswerLost";

export function createStoreError(name: StoreErrorName, message: string, cause?: unknown): VError {
    return cause instanceof Error ? new VError({ name, cause }, "%s", message) : new VError({ name }, "%s", message);
}

/** Whether the platform did not execute the request. */
export function isStoreUnavailable(error: unknown): boolean {
    return error instanceof Error && error.name === "StoreUnavailable";
}

/** Whether a write may have taken effect although its answer was lost. */
export function isStoreAnswerLost(error: unknown): boolean {
    return error instanceof Error && error.name === "StoreAnswerLost";
}
