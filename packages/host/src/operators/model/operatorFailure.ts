import type { Finding } from "@currantrill/core";
import type { OperatorError, OperatorErrorCode } from "@currantrill/protocol";

const statuses: Record<OperatorErrorCode, number> = {
    invalid: 400,
    unknown_operator: 401,
    not_found: 404,
    conflict: 409,
    platform_unavailable: 503,
    outcome_unknown: 504,
};

const messages: Record<OperatorErrorCode, string> = {
    invalid: "The request was rejected as a whole; correct each finding and send it again.",
    unknown_operator: "Send the operator key as a bearer token.",
    not_found: "There is no such object.",
    conflict: "Another ticket is in the way; plan again on what is in force.",
    platform_unavailable: "The platform does not answer, and nothing was applied; send the ticket again later.",
    outcome_unknown: "The platform did not answer in time and the ticket may be applied; send it again to find out.",
};

/** Error of an operator request. The operator server sends it as the HTTP status and body of the response. */
export class OperatorFailure extends Error {
    readonly code: OperatorErrorCode;
    readonly findings: readonly Finding[];

    constructor(code: OperatorErrorCode, findings: readonly Finding[] = [], message = messages[code]) {
        super(message);
        this.name = "OperatorFailure";
        this.code = code;
        this.findings = findings;
    }

    get status(): number {
        return statuses[this.code];
    }

    toBody(): OperatorError {
        return { error: { code: this.code, message: this.message }, findings: this.findings };
    }
}
