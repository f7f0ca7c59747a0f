/** One incarnation of a host's process: its clocks, its timers, and the events that are deferred while it is paused. */
import type { Clocks } from "@currantrill/core";
import type { HistoryRecorder } from "../model/history.js";
import type { FaultPlan, ScheduledFault } from "./faults.js";
import type { Timeline } from "./timeline.js";

type EventSource = "network" | "timer";

/** A process of a host. It ends when it is killed or exits, and is never restarted. */
export interface HostProcess {
    readonly name: string;
    readonly index: number;
    /** Distinguishes this process from earlier and later ones of the same host. */
    readonly incarnation: string;
    readonly isAlive: () => boolean;
    readonly readClocks: () => Clocks;
    /** Runs an event handler: at once, at the end of a pause, or never if the process has ended. */
    readonly deliver: (run: () => void, source?: EventSource) => void;
    /** Runs a handler after a delay on the process's monotonic clock. */
    readonly setTimer: (delayMs: number, run: () => void) => void;
    /** Registers a handler that runs when the process ends for any reason. */
    readonly onEnd: (run: () => void) => void;
    readonly end: (cause: "killed" | "exited") => void;
}

/** A host, which exists for the whole run, with its current process. */
export interface SimulatedHost {
    readonly index: number;
    readonly name: string;
    /** Returns the current process; `undefined` while none runs. */
    readonly getProcess: () => HostProcess | undefined;
}

/** The run that a host belongs to. */
export interface HostContext {
    readonly timeline: Timeline;
    readonly faults: FaultPlan;
    readonly scheduledFaults: readonly ScheduledFault[];
    readonly recorder: HistoryRecorder;
}

const WALL_EPOCH_MS = 1_700_000_000_000;
/** Offset of the wall clock during the faults `clockAhead` and `clockBehind`. */
const CLOCK_STEP_MS = 20_000;

interface HostState {
    process: HostProcess | undefined;
    incarnationCount: number;
    /** Number of overlapping pauses and suspensions that are active. */
    pauseDepth: number;
    /** Total time of past suspensions, during which the monotonic clock stopped. */
    suspendedMs: number;
    suspendedSinceMs: number | undefined;
    /** Events that arrived during the pause. */
    deferredEvents: { readonly run: () => void; readonly source: EventSource; }[];
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
        incarnationCount: 0,
        pauseDepth: 0,
        suspendedMs: 0,
        suspendedSinceMs: undefined,
        deferredEvents: [],
    };
    const start = (): void => {
        if (state.process?.isAlive() === true) {
            return;
        }
        state.incarnationCount += 1;
        state.deferredEvents = [];
        state.process = createProcess(context, state, index, name);
        context.recorder.record({ type: "started", host: name });
        startProcess(state.process);
    };
    start();
    for (const fault of context.scheduledFaults.filter(entry => entry.host === index)) {
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
        beginPause(context, state, fault);
    }
}

function beginPause(context: HostContext, state: HostState, fault: ScheduledFault): void {
    const name = `host-${fault.host}`;
    const nowMs = context.timeline.getNowMs();
    state.pauseDepth += 1;
    if (state.pauseDepth === 1) {
        context.recorder.record({ type: "paused", host: name });
    }
    if (fault.kind === "suspend") {
        state.suspendedSinceMs ??= nowMs;
    }
    context.timeline.schedule(fault.durationMs, () => {
        state.pauseDepth -= 1;
        if (state.pauseDepth > 0) {
            return;
        }
        if (state.suspendedSinceMs !== undefined) {
            state.suspendedMs += context.timeline.getNowMs() - state.suspendedSinceMs;
            state.suspendedSinceMs = undefined;
        }
        context.recorder.record({ type: "resumed", host: name });
        // After a pause an event loop may handle expired timers or readable sockets first; the schedule decides which.
        const first: EventSource = fault.durationMs % 2 === 0 ? "timer" : "network";
        const deferred = state.deferredEvents;
        state.deferredEvents = [];
        deferred.filter(entry => entry.source === first).forEach(entry => entry.run());
        deferred.filter(entry => entry.source !== first).forEach(entry => entry.run());
    });
}

function createProcess(context: HostContext, state: HostState, index: number, name: string): HostProcess {
    const { timeline, faults, recorder } = context;
    let alive = true;
    const endHandlers: (() => void)[] = [];
    const getMonotonicMs = (): number => {
        const nowMs = timeline.getNowMs();
        const suspensionMs = state.suspendedSinceMs === undefined ? 0 : nowMs - state.suspendedSinceMs;
        return nowMs - state.suspendedMs - suspensionMs;
    };
    const deliver = (run: () => void, source: EventSource = "network"): void => {
        const runIfAlive = (): void => {
            if (alive) {
                run();
            }
        };
        if (state.pauseDepth > 0) {
            state.deferredEvents.push({ run: runIfAlive, source });
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
        incarnation: `${name}-${state.incarnationCount}`,
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
