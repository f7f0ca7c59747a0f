/** In-memory fake of an HTTP service that records each executed call. */
import type { StoredAnswer } from "@currantrill/core";
import type { HistoryRecorder } from "../model/history.js";
import type { FaultPlan } from "../simulation/faults.js";
import type { HostProcess } from "../simulation/hostProcess.js";
import type { Random } from "../simulation/random.js";
import type { Timeline } from "../simulation/timeline.js";

/** A request to the service. `operation` identifies the call in the history. */
export interface ServiceRequest {
    readonly operation: string;
    readonly key: string;
    readonly payload: string;
}

/** If `bytesSent` is set, the service may have executed the failed call. */
export type ServiceResult =
    | { readonly type: "answered"; readonly answer: StoredAnswer; }
    | { readonly type: "failed"; readonly bytesSent: boolean; };

/** The service as a host sees it through its connections. */
export interface FakeService {
    /** Connects and sends. `canSend` is called once connected, immediately before the first byte is sent. */
    readonly send: (
        process: HostProcess,
        request: ServiceRequest,
        canSend: () => boolean,
        done: (result: ServiceResult) => void,
    ) => void;
}

const MAX_SLOW_DELAY_MS = 4_000;
const STANDIN = "service";
/** Payload whose answer is too large for a row of the store and therefore goes to the object store. */
export const LARGE_PAYLOAD = "large";
const LARGE_BODY_BYTES = 70_000;

/** The expected answer to a request. It differs from the answers to requests with another key or payload. */
export function formatAnswerBody(key: string, payload: string): string {
    const body = `${key}:${payload}`;
    return payload === LARGE_PAYLOAD ? body.padEnd(LARGE_BODY_BYTES, ".") : body;
}

export interface ServiceContext {
    readonly timeline: Timeline;
    readonly faults: FaultPlan;
    readonly random: Random;
    readonly recorder: HistoryRecorder;
}

export function createFakeService({ timeline, faults, random, recorder }: ServiceContext): FakeService {
    let standinSeq = 0;
    const sampleDelay = (): number =>
        random.sample(1, 5) + (faults.isActive("endpointSlow") ? random.sample(0, MAX_SLOW_DELAY_MS) : 0);
    const execute = (request: ServiceRequest): void => {
        standinSeq += 1;
        recorder.record({ type: "executed", standin: STANDIN, standinSeq, ...request });
    };
    const receive = (process: HostProcess, request: ServiceRequest, done: (result: ServiceResult) => void): void => {
        const reset = (): void =>
            timeline.schedule(1, () => process.deliver(() => done({ type: "failed", bytesSent: true })));
        if (faults.isActive("endpointResets")) {
            reset();
            return;
        }
        execute(request);
        if (faults.isActive("endpointLosesAnswers")) {
            reset();
            return;
        }
        if (faults.isActive("endpointSilent") || faults.isActive("cutFromEndpoint", process.index)) {
            return;
        }
        const answer = { status: 200, contentType: "text/plain", body: formatAnswerBody(request.key, request.payload) };
        timeline.schedule(random.sample(1, 50), () => process.deliver(() => done({ type: "answered", answer })));
    };
    const send: FakeService["send"] = (process, request, canSend, done) => {
        const connect = (): void => {
            const reachable = !faults.isActive("endpointDown") && !faults.isActive("cutFromEndpoint", process.index);
            if (!reachable || !canSend()) {
                done({ type: "failed", bytesSent: false });
                return;
            }
            recorder.record({ type: "sent", operation: request.operation, host: process.name });
            timeline.schedule(sampleDelay(), () => receive(process, request, done));
        };
        timeline.schedule(sampleDelay(), () => process.deliver(connect));
    };
    return { send };
}
