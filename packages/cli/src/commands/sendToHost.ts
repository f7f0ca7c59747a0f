/** Requests to the operator listeners of hosts. */
import { type JsonResponse, requestJson } from "@currantrill/http";
import type { OperatorError, OperatorErrorCode } from "@currantrill/protocol";
import { createFindingsReport, type ExitCode, exitCodes, type Report } from "../model/report.js";

const REQUEST_TIMEOUT_MS = 20_000;

export interface HostOptions {
    /** Operator addresses. If a request to one fails, the next one is tried. */
    readonly hosts: readonly string[];
    readonly key: string;
}

export interface HostRequest {
    readonly method: "GET" | "POST";
    /** Path below `/admin`. */
    readonly path: string;
    readonly body?: unknown;
}

/** The body of a successful response, or the report on the failure. */
export type HostResult<T> =
    | { readonly ok: true; readonly answer: T; }
    | { readonly ok: false; readonly report: Report; };

const exitCodesByError: Record<OperatorErrorCode, ExitCode> = {
    invalid: exitCodes.invalid,
    unknown_operator: exitCodes.refused,
    not_found: exitCodes.refused,
    conflict: exitCodes.refused,
    platform_unavailable: exitCodes.unreachable,
    outcome_unknown: exitCodes.unknown,
};

/**
 * Sends a request to the first reachable host. Retrying it on another host is safe: applying a ticket is idempotent, on
 * whichever host it is applied, and so is a stop.
 */
export async function sendToHost<T>(options: HostOptions, request: HostRequest): Promise<HostResult<T>> {
    const failures: string[] = [];
    let mayHaveTakenEffect = false;
    for (const host of options.hosts) {
        try {
            const result = parseResponse<T>(await sendOnce(host, options.key, request));
            if (result.ok || !mayHaveTakenEffect || result.report.exitCode !== exitCodes.unreachable) {
                return result;
            }
            // This host could not find out whether the request to an earlier one has taken effect.
            failures.push(`${host}: ${result.report.text}`);
        }
        catch (error) {
            failures.push(`${host}: ${describeError(error)}`);
            mayHaveTakenEffect ||= request.method === "POST" && !isConnectError(error);
        }
    }
    return { ok: false, report: createUnreachableReport(failures, mayHaveTakenEffect) };
}

function sendOnce(host: string, key: string, request: HostRequest): Promise<JsonResponse> {
    return requestJson(`http://${host}/admin${request.path}`, {
        method: request.method,
        headers: { authorization: `Bearer ${key}` },
        timeoutMs: REQUEST_TIMEOUT_MS,
        ...(request.body === undefined ? {} : { body: request.body }),
    });
}

function parseResponse<T>(response: JsonResponse): HostResult<T> {
    if (response.status === 200) {
        return { ok: true, answer: response.body as T };
    }
    const body = response.body as Partial<OperatorError> | undefined;
    if (body?.error === undefined) {
        const text = `The address answered ${response.status}; is it the operator address of a host?`;
        return { ok: false, report: { exitCode: exitCodes.unreachable, data: { status: response.status }, text } };
    }
    const findings = createFindingsReport(body.findings ?? []);
    const text = [body.error.message, findings.text].filter(part => part !== "").join("\n");
    return { ok: false, report: { exitCode: exitCodesByError[body.error.code], data: body, text } };
}

function createUnreachableReport(failures: readonly string[], mayHaveTakenEffect: boolean): Report {
    const advice = mayHaveTakenEffect
        ? "The request may have taken effect. Send it again to find out; it has an effect only once."
        : "No host could be reached, and nothing was applied. Give the operator address of a running host.";
    return {
        exitCode: mayHaveTakenEffect ? exitCodes.unknown : exitCodes.unreachable,
        data: { error: { code: mayHaveTakenEffect ? "outcome_unknown" : "unreachable" }, failures },
        text: [advice, ...failures].join("\n"),
    };
}

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "ERR_INVALID_URL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

const isConnectError = (error: unknown): boolean =>
    error instanceof Error && "code" in error && CONNECT_ERROR_CODES.has(String(error.code));

function describeError(error: unknown): string {
    if (!(error instanceof Error)) {
        return String(error);
    }
    return error.message !== "" ? error.message : "code" in error ? String(error.code) : error.name;
}
