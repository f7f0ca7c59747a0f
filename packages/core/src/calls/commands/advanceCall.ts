/** The state machine of one call that must not run twice. */
import type { Clocks } from "@currantrill/protocol";
import type { CallEvent, CallPhase, CallRequest, CallState, CallStep } from "../model/callMachine.js";
import { type CallOptions, defaultCallOptions, MAX_ROW_ANSWER_BYTES } from "../model/callOptions.js";
import type { CallRowState } from "../model/callRow.js";
import {
    beginPhase,
    closeRecord,
    endCall,
    getAnswerKey,
    joinSteps,
    readRecord,
    recordAnswer,
    refuseCall,
    reserveRecord,
    sendCall,
    sendResult,
    startRecord,
    waitBeforeRetry,
    writeClosingRecord,
} from "./callTransitions.js";
import { handleFoundRecord } from "./handleFoundRecord.js";

/** Starts a call: reserves its record and sets the timer for the caller's deadline. */
export function beginCall(request: CallRequest, now: Clocks, options: Partial<CallOptions> = {}): CallStep {
    const settings = { ...defaultCallOptions, ...options };
    const state: CallState = {
        request,
        options: settings,
        startedAt: now,
        phase: { name: "reserving" },
        operation: 0,
        deadlineOperation: 1,
        nextOperation: 2,
        answered: false,
        mayHaveRun: false,
        heldVersion: undefined,
        pollDelayMs: settings.pollMs,
        closing: undefined,
    };
    const step = settings.safeguards.reserve ? reserveRecord(state, 0, now) : sendCall(state, 0, now);
    return { ...step, effects: [{ type: "wait", operation: 1, delayMs: request.timeoutMs }, ...step.effects] };
}

/** Advances a call by the result of an effect. Events of operations that are not awaited change nothing. */
export function advanceCall(state: CallState, event: CallEvent, now: Clocks): CallStep {
    if (state.phase.name === "ended") {
        return { state, effects: [] };
    }
    if (event.operation === state.deadlineOperation) {
        return deadlineHandlers[state.phase.name](state, now);
    }
    if (event.operation !== state.operation) {
        return { state, effects: [] };
    }
    // Each handler receives the event of its own type; the table's type cannot express that for a union.
    const handle = eventHandlers[event.type] as (state: CallState, event: CallEvent, now: Clocks) => CallStep;
    return handle(state, event, now);
}

type EventOf<T extends CallEvent["type"]> = Extract<CallEvent, { type: T; }>;
type EventHandlers = { [T in CallEvent["type"]]: (state: CallState, event: EventOf<T>, now: Clocks) => CallStep; };

const eventHandlers: EventHandlers = {
    rowWritten: (state, { version }, now) => {
        const next: CallState = { ...state, pollDelayMs: state.options.pollMs };
        if (state.phase.name === "closing") {
            return endCall(next);
        }
        return state.phase.name === "starting" ? sendCall(next, version, now) : startRecord(next, version, now);
    },
    rowConflict: state => state.phase.name === "closing" ? handleClosingConflict(state) : readRecord(state),
    writeRefused: (state, _event, now) =>
        state.phase.name === "closing" ? waitBeforeRetry(state, "close") : refuseCall(state, "store_unavailable", now),
    writeLost: state => waitBeforeRetry(state, state.phase.name === "closing" ? "close" : "read"),
    rowRead: (state, { found }, now) => {
        if (state.phase.name !== "checkingRelease") {
            return handleFoundRecord(state, found, now);
        }
        const isOpenRecordOfAttempt = found?.row.attempt === state.request.attempt && isOpen(found.row.state);
        return isOpenRecordOfAttempt
            ? closeRecord({ ...state, heldVersion: found.version }, "released", now)
            : endCall(state);
    },
    readFailed: state => waitBeforeRetry(state, state.phase.name === "checkingRelease" ? "close" : "read"),
    objectWritten: (state, _event, now) => closeRecord(state, "finished", now, { answerObject: getAnswerKey(state) }),
    objectRead: (state, { answer }) =>
        joinSteps(sendResult(state, { outcome: "answered", answer, replayed: true }), endCall),
    objectFailed: (state, _event, now) =>
        state.phase.name === "storingAnswer" ? closeRecord(state, "finished", now) : waitBeforeRetry(state, "read"),
    callAnswered: (state, { answer }, now) => recordAnswer(state, answer, MAX_ROW_ANSWER_BYTES, now),
    callFailed: (state, { bytesSent }, now) => {
        if (!bytesSent) {
            return refuseCall(state, "endpoint_unreachable", now);
        }
        const outcome = state.options.safeguards.accurateNotRun ? "outcome_unknown" : "not_run";
        return joinSteps(sendResult(state, { outcome, code: "connection_lost" }), endCall);
    },
    timerFired: (state, _event, now) => {
        const resumesClosing = state.phase.name === "pausing" && state.phase.next === "close";
        return resumesClosing ? writeClosingRecord(state, now) : readRecord(state);
    },
};

const expireUnsent = (state: CallState, now: Clocks): CallStep => refuseCall(state, "timeout", now);
const toUnchangedStep = (state: CallState): CallStep => ({ state, effects: [] });

/** Transitions at the caller's deadline, by phase. */
const deadlineHandlers: Record<CallPhase["name"], (state: CallState, now: Clocks) => CallStep> = {
    reserving: expireUnsent,
    reading: expireUnsent,
    pausing: (state, now) => state.answered ? toUnchangedStep(state) : expireUnsent(state, now),
    starting: expireUnsent,
    loadingAnswer: expireUnsent,
    sending: state => state.answered ? endCall(state) : awaitLateAnswer(state),
    storingAnswer: toUnchangedStep,
    closing: toUnchangedStep,
    checkingRelease: toUnchangedStep,
    ended: toUnchangedStep,
};

/** Reports an unknown outcome to the caller and keeps waiting: a late answer is stored for duplicates. */
function awaitLateAnswer(state: CallState): CallStep {
    return joinSteps(sendResult(state, { outcome: "outcome_unknown", code: "timeout" }), next => {
        const deadlineOperation = next.nextOperation;
        return {
            state: { ...next, deadlineOperation, nextOperation: deadlineOperation + 1 },
            effects: [{ type: "wait", operation: deadlineOperation, delayMs: next.options.lateAnswerMs }],
        };
    });
}

/**
 * A record that could not be released at its known version may be `started` by a write whose response was lost. The
 * call was not sent, so it is released at the version found. A conflict of a `finished` write needs no action.
 */
function handleClosingConflict(state: CallState): CallStep {
    if (state.closing?.row.state !== "released") {
        return endCall(state);
    }
    const key = state.request.rowKey;
    return beginPhase(state, { name: "checkingRelease" }, operation => ({ type: "readRow", operation, key }));
}

const isOpen = (state: CallRowState): boolean => state === "reserved" || state === "started";
