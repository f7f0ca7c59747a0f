/** One incarnation of a host's process: its clocks, its timers, and what reaches it while it stands still. */
import type { Clocks } from "@currantrill/core";
import type { HistoryRecorder } from "../model/history.js";
import type { FaultPlan, ScheduledFault } from "./faults.js";
import type { Timeline } from "./timeline.js";

type EventSource = "network" | "timer";

export interface HostProcess {
    readonly name: string;
    readonly index: number;
    readonly incarnation: string;
    readonly isAlive: () => boolean;
    readonly readClocks: () => Clocks;
    /** Hands an event to the process: at once, at the end of a pause, or never if the process has ended. */
    readonly deliver: (run: () => void, source?: EventSource) => void;
    /** Timers count on the monotonic clock. */
    readonly setTimer: (delayMs: number, run: () => void) => void;
    /** Runs when the process ends for any reason. */
    readonly onEnd: (run: () => void) => void;
    readonly end: (cause: "killed" | "exited") => void;
}

/** A host over the whole run, with the process that currently runs on it. */
export interface SimulatedHost {
    readonly index: number;
    readonly name: string;
    /** `undefined` while no process runs. */
    readonly getProcess: () => HostProcess | undefined;
}

export interface HostContext {
    readonly timeline: Timeline;
    readonly faults: FaultPlan;
    readonly schedule: readonly ScheduledFault[];
    readonly recorder: HistoryRecorder;
}

const WALL_EPOCH_MS = 1_700_000_000_000;
/** Wall-clock error of the faults `clockAhead` and `clockBehind`. */
const CLOCK_STEP_MS = 20_000;

interface HostState {
    process: HostProcess | undefined;
    incarnations: number;
    standing: number;
    /** Time for which the monotonic clock has stood still. */
    suspendedMs: number;
    suspendedSinceMs: number | undefined;
    waiting: { readonly run: () => void; readonly source: EventSource; }[];
}

/** Creates a host, starts its first process and schedules its faults. */
export function createHost(
    context: HostContext,
    index: number,
    startProcess: (process: HostProcess) => void,
): SimulatedHost {
    const name = `host-${index}`;
    const state: HostState = {
        process: undefined,
        incarnations: 0,
        standing: 0,
        suspendedMs: 0,
        suspendedSinceMs: undefined,
        waiting: [],
    };
    const start = (): void => {
        if (state.process?.isAlive() === true) {
            return;
        }
        state.incarnations += 1;
        state.waiting = [];
        state.process = createProcess(context, state, index, name);
        context.recorder.record({ type: "started", host: name });
        startProcess(state.process);
    };
    start();
    for (const fault of context.schedule.filter(entry => entry.host === index)) {
        context.timeline.schedule(fault.atMs, () => beginFault(context, state, fault, start));
    }
    return { index, name, getProcess: () => state.process?.isAlive() === true ? state.process : undefined };
}

function beginFault(context: HostContext, state: HostState, fault: ScheduledFault, start: () => void): void {
    if (fault.kind === "kill") {
        state.process?.end("killed");
        context.timeline.schedule(fault.durationMs, start);
    }
    if (fault.kind === "pause" || fault.kind === "suspend") {
        beginStandstill(context, state, fault);
    }
}

function beginStandstill(context: HostContext, state: HostState, fault: ScheduledFault): void {
    const name = `host-${fault.host}`;
    const nowMs = context.timeline.getNowMs();
    state.standing += 1;
    if (state.standing === 1) {
        context.recorder.record({ type: "paused", host: name });
    }
    if (fault.kind === "suspend") {
        state.suspendedSinceMs ??= nowMs;
    }
    context.timeline.schedule(fault.durationMs, () => {
        state.standing -= 1;
        if (state.standing > 0) {
            return;
        }
        if (state.suspendedSinceMs !== undefined) {
            state.suspendedMs += context.timeline.getNowMs() - state.suspendedSinceMs;
            state.suspendedSinceMs = undefined;
        }
        context.recorder.record({ type: "resumed", host: name });
        // An event loop may see expired timers or readable sockets first; the schedule decides.
        const first: EventSource = fault.durationMs % 2 === 0 ? "timer" : "network";
        const waiting = state.waiting;
        state.waiting = [];
        waiting.filter(entry => entry.source === first).forEach(entry => entry.run());
        waiting.filter(entry => entry.source !== first).forEach(entry => entry.run());
    });
}

function createProcess(context: HostContext, state: HostState, index: number, name: string): HostProcess {
    const { timeline, faults, recorder } = context;
    let alive = true;
    const endHandlers: (() => void)[] = [];
    const getMonotonicMs = (): number => {
        const nowMs = timeline.getNowMs();
        const standing = state.suspendedSinceMs === undefined ? 0 : nowMs - state.suspendedSinceMs;
        return nowMs - state.suspendedMs - standing;
    };
    const deliver = (run: () => void, source: EventSource = "network"): void => {
        const runIfAlive = (): void => {
            if (alive) {
                run();
            }
        };
        if (state.standing > 0) {
            state.waiting.push({ run: runIfAlive, source });
            return;
        }
        runIfAlive();
    };
    const setTimerUntil = (dueMonotonicMs: number, run: () => void): void => {
        timeline.schedule(dueMonotonicMs - getMonotonicMs(), () =>
            deliver(
                () => getMonotonicMs() >= dueMonotonicMs ? run() : setTimerUntil(dueMonotonicMs, run),
                "timer",
            ));
    };
    const process: HostProcess = {
        name,
        index,
        incarnation: `${name}-${state.incarnations}`,
        isAlive: () => alive,
        readClocks: () => {
            const step = (faults.isActive("clockAhead", index) ? CLOCK_STEP_MS : 0)
                - (faults.isActive("clockBehind", index) ? CLOCK_STEP_MS : 0);
            return { wallMs: WALL_EPOCH_MS + timeline.getNowMs() + step, monotonicMs: getMonotonicMs() };
        },
        deliver,
        setTimer: (delayMs, run) => setTimerUntil(getMonotonicMs() + delayMs, run),
        onEnd: run => endHandlers.push(run),
        end: cause => {
            if (alive) {
                alive = false;
                recorder.record({ type: cause, host: name });
                endHandlers.forEach(run => run());
            }
        },
    };
    return process;
}
