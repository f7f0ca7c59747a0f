/** Errors that callers receive. */
import type { CallerErrorBody, Outcome } from "@currantrill/protocol";

export interface CallerErrorOptions {
    readonly status: number;
    readonly code: string;
    readonly message: string;
    readonly outcome?: Exclude<Outcome, "answered">;
    /** Request field or header that has to change. */
    readonly field?: string;
    readonly retryAfterSeconds?: number;
}

/** A failed request. The outcome is `not_run` unless a byte of the call may have left the host. */
export class CallerError extends Error {
    readonly status: number;
    readonly code: string;
    readonly outcome: Exclude<Outcome, "answered">;
    readonly field: string | undefined;
    readonly retryAfterSeconds: number | undefined;

    constructor(options: CallerErrorOptions) {
        super(options.message);
        this.name = "CallerError";
        this.status = options.status;
        this.code = options.code;
        this.outcome = options.outcome ?? "not_run";
        this.field = options.field;
        this.retryAfterSeconds = options.retryAfterSeconds;
    }

    toBody(): CallerErrorBody {
        const { code, message, outcome, field } = this;
        return { error: { code, message, outcome, ...(field === undefined ? {} : { field }) } };
    }
}
