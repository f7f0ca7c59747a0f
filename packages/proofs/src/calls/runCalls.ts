/** Simulates a schedule of calls on several hosts that share a store and a service. */
import {
    allCallSafeguards,
    type CallOptions,
    type CallRow,
    formatCallKey,
    type ListedCallRow,
    planCallSweep,
} from "@currantrill/core";
import { toAttemptId } from "@currantrill/protocol";
import { createHistoryRecorder, type History, type OperationOutcome } from "../model/history.js";
import type { SafeguardOverrides } from "../model/proof.js";
import { createFakeStore, type FakeStore } from "../simulation/fakeStore.js";
import { createFaultPlan } from "../simulation/faults.js";
import { createHost, type HostProcess, type SimulatedHost } from "../simulation/hostProcess.js";
import { createRandom } from "../simulation/random.js";
import { createTimeline, type Timeline } from "../simulation/timeline.js";
import { CALL_HOST_COUNT, type CallSchedule, eraStartTimesMs, type ScheduledRequest } from "./callSchedule.js";
import { createFakeService } from "./fakeService.js";
import { runCall } from "./runCall.js";

/** Longer than the sum of the longest timeout, the wait for a late answer and the writes that close a record. */
const SETTLE_MS = 180_000;
const RETRY_DELAY_MS = 200;

interface CallWorld {
    readonly timeline: Timeline;
    readonly recorder: ReturnType<typeof createHistoryRecorder>;
    readonly store: FakeStore;
    readonly service: ReturnType<typeof createFakeService>;
    readonly hosts: readonly SimulatedHost[];
    readonly overrides: SafeguardOverrides;
    /** Number of active calls of each process, and whether it is draining and refuses new ones. */
    readonly processes: Map<HostProcess, { active: number; draining: boolean; }>;
    nextOperation: number;
}

/** Runs one schedule and returns its history. */
export function runCalls(schedule: CallSchedule, overrides: SafeguardOverrides): History {
    const timeline = createTimeline();
    const recorder = createHistoryRecorder(timeline.getNowMs);
    const faults = createFaultPlan(schedule.faults, timeline.getNowMs);
    const context = {
        timeline,
        recorder,
        faults,
        random: createRandom(schedule.seed),
        scheduledFaults: schedule.faults,
    };
    const processes: CallWorld["processes"] = new Map();
    const hosts = Array.from(
        { length: CALL_HOST_COUNT },
        (_, index) => createHost(context, index, process => processes.set(process, { active: 0, draining: false })),
    );
    const store = createFakeStore(context);
    const service = createFakeService(context);
    const world: CallWorld = { timeline, recorder, store, service, hosts, overrides, processes, nextOperation: 1 };
    for (const request of schedule.requests) {
        timeline.schedule(toTime(request), () => sendRequest(world, request, request.host, request.retries));
    }
    for (const drain of schedule.drains) {
        timeline.schedule(drain.atMs, () => stopHost(world, drain.host));
    }
    for (const sweep of schedule.sweeps) {
        timeline.schedule(toTime(sweep), () => sweepRecords(world, sweep.host, sweep.delayMs));
    }
    timeline.runUntil(Math.max(0, ...schedule.requests.map(toTime), ...schedule.sweeps.map(toTime)) + SETTLE_MS);
    recorder.record({ type: "finished" });
    return recorder.events;
}

const toTime = ({ era, atMs }: { readonly era: number; readonly atMs: number; }): number =>
    (eraStartTimesMs[era] ?? 0) + atMs;

function sendRequest(world: CallWorld, request: ScheduledRequest, hostIndex: number, retries: number): void {
    const process = world.hosts[hostIndex % CALL_HOST_COUNT]?.getProcess();
    const retry = (): void => {
        if (retries > 0) {
            world.timeline.schedule(RETRY_DELAY_MS, () => sendRequest(world, request, hostIndex + 1, retries - 1));
        }
    };
    if (process === undefined) {
        retry();
        return;
    }
    process.deliver(() => admitRequest(world, process, request, retry));
}

function admitRequest(world: CallWorld, process: HostProcess, request: ScheduledRequest, retry: () => void): void {
    const operation = `op-${world.nextOperation}`;
    world.nextOperation += 1;
    const { key, payload, timeoutMs } = request;
    const deadlineMs = world.timeline.getNowMs() + timeoutMs;
    world.recorder.record({ type: "called", operation, host: process.name, action: "call", key, payload, deadlineMs });
    let answered = false;
    const handleOutcome = (outcome: OperationOutcome, body: string): void => {
        if (answered) {
            throw new Error(`${operation} is answered twice`);
        }
        answered = true;
        world.recorder.record({ type: "answered", operation, outcome, body });
        if (outcome !== "answered") {
            retry();
        }
    };
    const tracked = world.processes.get(process);
    if (tracked === undefined || tracked.draining) {
        handleOutcome("not_run", "");
        return;
    }
    tracked.active += 1;
    process.onEnd(() => {
        if (!answered) {
            handleOutcome("broken", "");
        }
    });
    runCall({
        process,
        store: world.store,
        service: world.service,
        call: {
            rowKey: formatCallKey({ workspace: "w", service: "s", operation: "POST /", idempotencyKey: key }),
            attempt: toAttemptId(operation),
            fingerprint: payload,
            timeoutMs,
        },
        request: { operation, key, payload },
        options: toOptions(world.overrides),
        handleResult: result =>
            handleOutcome(result.outcome, result.outcome === "answered" ? result.answer.body : result.code),
        handleEnd: () => {
            tracked.active -= 1;
            endIfDrained(process, tracked);
        },
    });
}

function stopHost(world: CallWorld, hostIndex: number): void {
    const process = world.hosts[hostIndex]?.getProcess();
    process?.deliver(() => {
        const tracked = world.processes.get(process);
        if (tracked === undefined) {
            return;
        }
        tracked.draining = true;
        world.recorder.record({ type: "draining", host: process.name });
        if (world.overrides.exitWithoutDrain) {
            process.end("exited");
            return;
        }
        endIfDrained(process, tracked);
    });
}

function endIfDrained(process: HostProcess, tracked: { active: number; draining: boolean; }): void {
    if (tracked.draining && tracked.active === 0) {
        process.end("exited");
    }
}

function sweepRecords(world: CallWorld, hostIndex: number, delayMs: number): void {
    const process = world.hosts[hostIndex]?.getProcess();
    process?.deliver(() => {
        const listed = [...world.store.rows].flatMap(([key, { version, value }]): ListedCallRow[] =>
            isCallRow(value) ? [{ key, version, row: value }] : []
        );
        const { retentionMs } = world.overrides;
        const deletions = planCallSweep(listed, process.readClocks().wallMs, { retentionMs });
        process.setTimer(delayMs, () => {
            for (const { key, version, answerObject } of deletions) {
                const write = { conditions: [{ key, version }], writes: [{ key, value: undefined }] };
                world.store.write(process, write, result => {
                    if (result.type === "committed" && answerObject !== undefined) {
                        const remove = { conditions: [], writes: [{ key: answerObject, value: undefined }] };
                        world.store.write(process, remove, () => undefined);
                    }
                });
            }
        });
    });
}

const isCallRow = (value: unknown): value is CallRow =>
    typeof value === "object" && value !== null && "fingerprint" in value;

function toOptions({ call }: SafeguardOverrides): Partial<CallOptions> {
    return { safeguards: { ...allCallSafeguards, ...call } };
}
