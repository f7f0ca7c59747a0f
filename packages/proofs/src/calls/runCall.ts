/** Executes the effects of the core's call state machine on the fakes, as the host does on the network. */
import {
    advanceCall,
    beginCall,
    type CallEffect,
    type CallEvent,
    type CallOptions,
    type CallRequest,
    type CallResult,
    type CallRow,
    type CallState,
    type CallStep,
    canSendCall,
    type StoredAnswer,
} from "@currantrill/core";
import type { FakeStore, WriteResult } from "../simulation/fakeStore.js";
import type { HostProcess } from "../simulation/hostProcess.js";
import type { FakeService, ServiceRequest } from "./fakeService.js";

/** One call and what it runs on. */
export interface CallDriverInput {
    readonly process: HostProcess;
    readonly store: FakeStore;
    readonly service: FakeService;
    readonly call: CallRequest;
    readonly request: ServiceRequest;
    readonly options: Partial<CallOptions>;
    /** Called with the answer for the caller. */
    readonly handleResult: (result: CallResult) => void;
    /** Called when the call has no work left, for example after its record is closed. */
    readonly handleEnd: () => void;
}

type EffectHandlers = { [T in CallEffect["type"]]: (effect: Extract<CallEffect, { type: T; }>) => void; };

/** Runs one call to its end. */
export function runCall(input: CallDriverInput): void {
    const { process, store, service } = input;
    let state: CallState;
    const dispatch = (event: CallEvent): void => apply(advanceCall(state, event, process.readClocks()));
    const handlers: EffectHandlers = {
        writeRow: ({ operation, key, version, row }) => {
            const write = { conditions: [{ key, version }], writes: [{ key, value: row }] };
            store.write(process, write, result => dispatch(toWriteEvent(operation, key, result)));
        },
        readRow: ({ operation, key }) =>
            store.read(process, key, found =>
                dispatch(
                    found === "failed"
                        ? { type: "readFailed", operation }
                        : {
                            type: "rowRead",
                            operation,
                            found: found && { version: found.version, row: found.value as CallRow },
                        },
                )),
        writeObject: ({ operation, key, answer }) =>
            store.write(
                process,
                { conditions: [], writes: [{ key, value: answer }] },
                result => dispatch({ type: result.type === "committed" ? "objectWritten" : "objectFailed", operation }),
            ),
        readObject: ({ operation, key }) =>
            store.read(process, key, found =>
                dispatch(
                    found === "failed" || found === undefined
                        ? { type: "objectFailed", operation }
                        : { type: "objectRead", operation, answer: found.value as StoredAnswer },
                )),
        sendCall: ({ operation, limit }) =>
            service.send(process, input.request, () => canSendCall(limit, process.readClocks()), result =>
                dispatch(
                    result.type === "answered"
                        ? { type: "callAnswered", operation, answer: result.answer }
                        : { type: "callFailed", operation, bytesSent: result.bytesSent },
                )),
        wait: ({ operation, delayMs }) => process.setTimer(delayMs, () => dispatch({ type: "timerFired", operation })),
        answerCaller: ({ result }) => input.handleResult(result),
        end: () => input.handleEnd(),
    };
    const apply = (step: CallStep): void => {
        state = step.state;
        for (const effect of step.effects) {
            // Each handler receives the effect of its own type; the table's type cannot express that for a union.
            (handlers[effect.type] as (effect: CallEffect) => void)(effect);
        }
    };
    apply(beginCall(input.call, process.readClocks(), input.options));
}

function toWriteEvent(operation: number, key: string, result: WriteResult): CallEvent {
    switch (result.type) {
        case "committed":
            return { type: "rowWritten", operation, version: result.versions.get(key) ?? 0 };
        case "conflict":
            return { type: "rowConflict", operation };
        case "refused":
            return { type: "writeRefused", operation };
        case "lost":
            return { type: "writeLost", operation };
    }
}
