/** Sends planned requests to the hosts of a running system at their planned times, and records the result of each. */
import { getLengthClass } from "@currantrill/core";
import { callerHeaders, type Topology } from "@currantrill/protocol";
import type { LoadRecord, PlannedCall, PlannedPrompt, PlannedRequest } from "../model/loadRecord.js";
import { sendDispatch } from "./sendDispatch.js";
import { sendPrompt } from "./sendPrompt.js";

export interface LoadOptions {
    readonly topology: Topology;
    readonly requests: readonly PlannedRequest[];
    /** Timeout of each request. */
    readonly timeoutMs: number;
    /** Called for each record as soon as it is complete. */
    readonly onRecord: (record: LoadRecord) => void;
}

/** Host and workspace of one request. */
interface LoadTarget {
    readonly host: string;
    readonly url: string;
    readonly who: string;
    readonly workspaceKey: string;
    readonly timeoutMs: number;
    /** Returns the time since the start of the run, in milliseconds. */
    readonly getElapsedMs: () => number;
}

/** Resolves when every request has been answered or has failed. */
export async function runLoad(options: LoadOptions): Promise<void> {
    const startMs = performance.now();
    const getElapsedMs = (): number => performance.now() - startMs;
    const pending = options.requests.map(async (planned, index) => {
        await new Promise(resolve => setTimeout(resolve, planned.atMs - getElapsedMs()));
        const target = {
            ...chooseTarget(options.topology, planned.host, index),
            timeoutMs: options.timeoutMs,
            getElapsedMs,
        };
        options.onRecord(await sendPlannedRequest(planned, target));
    });
    await Promise.all(pending);
}

function chooseTarget(
    topology: Topology,
    hostNumber: number,
    index: number,
): Pick<LoadTarget, "host" | "url" | "who" | "workspaceKey"> {
    const hosts = topology.processes.filter(entry => entry.role === "host");
    const host = hosts[hostNumber % hosts.length];
    const workspace = topology.workspaces[index % topology.workspaces.length];
    if (host === undefined || workspace === undefined) {
        throw new Error("the topology has no host or no workspace");
    }
    return { host: host.name, url: `http://${host.address}`, who: workspace.name, workspaceKey: workspace.key };
}

const sendPlannedRequest = (planned: PlannedRequest, target: LoadTarget): Promise<LoadRecord> =>
    planned.what === "prompt" ? recordPrompt(planned, target) : recordCall(planned, target);

async function recordPrompt(planned: PlannedPrompt, target: LoadTarget): Promise<LoadRecord> {
    const { promptTokens, maxTokens, priority } = planned;
    const { host, who, url, workspaceKey, timeoutMs, getElapsedMs } = target;
    const calledMs = getElapsedMs();
    let firstTokenMs: number | undefined;
    const onFirstToken = (): void => {
        firstTokenMs = getElapsedMs();
    };
    const sent = sendPrompt({
        url,
        workspaceKey,
        promptTokens,
        maxTokens,
        priority,
        stream: true,
        timeoutMs,
        onFirstToken,
    });
    const result = await sent.catch((error: unknown) => String(error));
    const base = {
        who,
        what: planned.what,
        host,
        lengthClass: getLengthClass(promptTokens),
        promptTokens,
        priority,
        calledMs,
        ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
        answeredMs: getElapsedMs(),
    };
    if (typeof result === "string") {
        return { ...base, requestId: "", outcome: "broken", detail: result };
    }
    const { requestId, status, detail, isComplete } = result;
    const outcome = status === 200 ? isComplete ? "answered" : "incomplete" : toOutcome(result.outcome);
    return { ...base, requestId, status, outcome, detail };
}

async function recordCall(planned: PlannedCall, target: LoadTarget): Promise<LoadRecord> {
    const { host, who, url, workspaceKey, timeoutMs, getElapsedMs } = target;
    const { idempotencyKey } = planned;
    const calledMs = getElapsedMs();
    const response = await sendDispatch({ url, workspaceKey, idempotencyKey, timeoutMs })
        .catch((error: unknown) => String(error));
    const base = { who, what: planned.what, host, idempotencyKey, calledMs, answeredMs: getElapsedMs() };
    if (typeof response === "string") {
        return { ...base, requestId: "", outcome: "broken", detail: response };
    }
    const requestId = String(response.headers[callerHeaders.requestId] ?? "");
    const outcome = response.status === 200 ? "answered" : toOutcome(response.headers[callerHeaders.outcome]);
    const detail = response.status === 200 ? "" : JSON.stringify(response.body);
    return { ...base, requestId, status: response.status, outcome, detail };
}

/** Converts the value of the outcome header of an error response. */
const toOutcome = (header: unknown): LoadRecord["outcome"] =>
    header === "not_run" ? "not_run" : header === "outcome_unknown" ? "outcome_unknown" : "incomplete";
