/** The state machine that applies one ticket to the platform. */
import { type Clocks, measureElapsed } from "@currantrill/protocol";
import type { Finding } from "../../model/finding.js";
import type {
    TicketEffect,
    TicketEvent,
    TicketRefusalCode,
    TicketRequest,
    TicketResult,
    TicketState,
    TicketStep,
} from "../model/ticketMachine.js";
import type { PlatformConfiguration } from "../model/ticketRows.js";
import { planTicket } from "../queries/planTicket.js";

/** Initial and maximum delay before the platform is read again. */
const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;

/** Starts to apply a ticket: sets the timer for the operator's deadline and reads the platform. */
export function beginTicket(request: TicketRequest, now: Clocks): TicketStep {
    const state: TicketState = {
        request,
        startedAt: now,
        operation: 0,
        deadlineOperation: 1,
        nextOperation: 2,
        phase: "reading",
        planned: undefined,
        lostWriteVersion: undefined,
        retryDelayMs: INITIAL_RETRY_DELAY_MS,
    };
    const step = readPlatform(state);
    return { ...step, effects: [{ type: "wait", operation: 1, delayMs: request.timeoutMs }, ...step.effects] };
}

/** Advances a ticket by the result of an effect. Events of operations that are not awaited change nothing. */
export function advanceTicket(state: TicketState, event: TicketEvent, now: Clocks): TicketStep {
    if (state.phase === "ended") {
        return { state, effects: [] };
    }
    if (event.operation === state.deadlineOperation) {
        return expireTicket(state);
    }
    if (event.operation !== state.operation) {
        return { state, effects: [] };
    }
    // Each handler receives the event of its own type; the table's type cannot express that for a union.
    const handle = eventHandlers[event.type] as (state: TicketState, event: TicketEvent, now: Clocks) => TicketStep;
    return handle(state, event, now);
}

type EventHandlers = {
    [T in TicketEvent["type"]]: (
        state: TicketState,
        event: Extract<TicketEvent, { type: T; }>,
        now: Clocks,
    ) => TicketStep;
};

const eventHandlers: EventHandlers = {
    platformRead: (state, { platform }, now) => handlePlatform(state, platform, now),
    readFailed: state => handleUnavailable(state),
    ticketWritten: state => finishTicket(state),
    ticketConflict: state => readPlatform(state),
    writeRefused: state => handleUnavailable(state),
    writeLost: state => waitForPlatform({ ...state, lostWriteVersion: state.planned?.headVersion }),
    timerFired: state => readPlatform(state),
};

/**
 * Plans the ticket on the platform's configuration. `head` was read before the ticket's row, so if the row is absent, a
 * write whose response was lost has not taken effect, and can do so only while `head` has the version that it names.
 */
function handlePlatform(state: TicketState, platform: PlatformConfiguration, now: Clocks): TicketStep {
    if (measureElapsed(state.startedAt, now) >= state.request.timeoutMs) {
        return expireTicket(state);
    }
    const { ticket, attempt } = state.request;
    const plan = planTicket(platform.configuration, ticket, platform.ticketRow);
    if (!plan.ok) {
        return refuseTicket(state, plan.code, plan.findings);
    }
    if (plan.appliedAs !== undefined) {
        const alreadyApplied = platform.ticketRow?.attempt !== attempt;
        const changes = alreadyApplied ? [] : state.planned?.changes ?? [];
        const warnings = alreadyApplied ? [] : state.planned?.warnings ?? [];
        return endTicket(
            state,
            { outcome: "applied", revision: plan.appliedAs, changes, warnings, alreadyApplied },
            [{ type: "adopt", configuration: platform.configuration }],
        );
    }
    const { headVersion } = platform;
    const lostWriteVersion = state.lostWriteVersion === headVersion ? headVersion : undefined;
    const planned = { headVersion, next: plan.next, changes: plan.changes, warnings: plan.warnings };
    const row = { ticket, revision: plan.next.revision, attempt, appliedAtMs: now.wallMs };
    return beginOperation(
        { ...state, phase: "writing", planned, lostWriteVersion },
        operation => ({ type: "writeTicket", operation, headVersion, next: plan.next, row }),
    );
}

function beginOperation(state: TicketState, createEffect: (operation: number) => TicketEffect): TicketStep {
    const operation = state.nextOperation;
    return { state: { ...state, operation, nextOperation: operation + 1 }, effects: [createEffect(operation)] };
}

const readPlatform = (state: TicketState): TicketStep =>
    beginOperation({ ...state, phase: "reading" }, operation => ({ type: "readPlatform", operation }));

function waitForPlatform(state: TicketState): TicketStep {
    const delayMs = state.retryDelayMs;
    const nextDelayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS);
    return beginOperation(
        { ...state, phase: "pausing", retryDelayMs: nextDelayMs },
        operation => ({ type: "wait", operation, delayMs }),
    );
}

/** Refuses the ticket at once, unless an earlier write may have taken effect. */
function handleUnavailable(state: TicketState): TicketStep {
    return state.lostWriteVersion === undefined
        ? refuseTicket(state, "platform_unavailable", [])
        : waitForPlatform(state);
}

function finishTicket(state: TicketState): TicketStep {
    if (state.planned === undefined) {
        return endTicket(state, { outcome: "outcome_unknown" });
    }
    const { next, changes, warnings } = state.planned;
    return endTicket(
        state,
        { outcome: "applied", revision: next.revision, changes, warnings, alreadyApplied: false },
        [{ type: "adopt", configuration: next }],
    );
}

/** At the deadline, a write that is in flight or whose response was lost may still take effect. */
function expireTicket(state: TicketState): TicketStep {
    const mayTakeEffect = state.phase === "writing" || state.lostWriteVersion !== undefined;
    return mayTakeEffect
        ? endTicket(state, { outcome: "outcome_unknown" })
        : refuseTicket(state, "platform_unavailable", []);
}

const refuseTicket = (state: TicketState, code: TicketRefusalCode, findings: readonly Finding[]): TicketStep =>
    endTicket(state, { outcome: "refused", code, findings });

function endTicket(state: TicketState, result: TicketResult, before: readonly TicketEffect[] = []): TicketStep {
    return { state: { ...state, phase: "ended" }, effects: [...before, { type: "answerOperator", result }] };
}
