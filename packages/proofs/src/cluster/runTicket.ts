/** Executes the effects of the core's ticket state machine on the fake store, as the host does on the platform. */
import {
    advanceTicket,
    beginTicket,
    type Configuration,
    emptyConfiguration,
    formatRevisionKey,
    formatTicketKey,
    HEAD_ROW_KEY,
    type HeadRow,
    type PlatformConfiguration,
    type TicketEffect,
    type TicketEvent,
    type TicketRequest,
    type TicketResult,
    type TicketRow,
    type TicketState,
    type TicketStep,
} from "@currantrill/core";
import { toRevision } from "@currantrill/protocol";
import type { FakeStore, WriteResult } from "../simulation/fakeStore.js";
import type { HostProcess } from "../simulation/hostProcess.js";

/** One ticket and what it runs on. */
export interface TicketDriverInput {
    readonly process: HostProcess;
    readonly store: FakeStore;
    readonly request: TicketRequest;
    /** Whether to treat a lost response as a refusal; only for `--break`. */
    readonly claimNotApplied: boolean;
    readonly adopt: (configuration: Configuration) => void;
    readonly handleResult: (result: TicketResult) => void;
}

type EffectHandlers = { [T in TicketEffect["type"]]: (effect: Extract<TicketEffect, { type: T; }>) => void; };

const writeEvents: Record<WriteResult["type"], "ticketWritten" | "ticketConflict" | "writeRefused" | "writeLost"> = {
    committed: "ticketWritten",
    conflict: "ticketConflict",
    refused: "writeRefused",
    lost: "writeLost",
};

/** Runs one ticket to its end. */
export function runTicket(input: TicketDriverInput): void {
    const { process, store, request } = input;
    let state: TicketState;
    const dispatch = (event: TicketEvent): void => apply(advanceTicket(state, event, process.readClocks()));
    const handlers: EffectHandlers = {
        readPlatform: ({ operation }) =>
            readPlatform(process, store, request, platform =>
                dispatch(
                    platform === "failed"
                        ? { type: "readFailed", operation }
                        : { type: "platformRead", operation, platform },
                )),
        writeTicket: ({ operation, headVersion, next, row }) => {
            const write = {
                conditions: [
                    { key: HEAD_ROW_KEY, version: headVersion },
                    { key: formatRevisionKey(next.revision), version: 0 },
                    { key: formatTicketKey(row.ticket.number), version: 0 },
                ],
                writes: [
                    { key: HEAD_ROW_KEY, value: { revision: next.revision } },
                    { key: formatRevisionKey(next.revision), value: next },
                    { key: formatTicketKey(row.ticket.number), value: row },
                ],
            };
            store.write(process, write, result => {
                const type = writeEvents[result.type];
                dispatch({ type: type === "writeLost" && input.claimNotApplied ? "writeRefused" : type, operation });
            });
        },
        wait: ({ operation, delayMs }) => process.setTimer(delayMs, () => dispatch({ type: "timerFired", operation })),
        adopt: ({ configuration }) => input.adopt(configuration),
        answerOperator: ({ result }) => input.handleResult(result),
    };
    const apply = (step: TicketStep): void => {
        state = step.state;
        for (const effect of step.effects) {
            // Each handler receives the effect of its own type; the table's type cannot express that for a union.
            (handlers[effect.type] as (effect: TicketEffect) => void)(effect);
        }
    };
    apply(beginTicket(request, process.readClocks()));
}

function readPlatform(
    process: HostProcess,
    store: FakeStore,
    request: TicketRequest,
    done: (platform: PlatformConfiguration | "failed") => void,
): void {
    readHead(process, store, head => {
        if (head === "failed") {
            done("failed");
            return;
        }
        store.read(
            process,
            formatTicketKey(request.ticket.number),
            row => done(row === "failed" ? "failed" : { ...head, ticketRow: row?.value as TicketRow | undefined }),
        );
    });
}

/** The newest configuration, with the version of the `head` row for a conditional write. */
export interface ReadHead {
    readonly headVersion: number;
    readonly configuration: Configuration;
}

/** Reads the `head` row and then the revision that it names. An absent row means an empty configuration. */
export function readHead(process: HostProcess, store: FakeStore, done: (head: ReadHead | "failed") => void): void {
    store.read(process, HEAD_ROW_KEY, row => {
        if (row === "failed") {
            done("failed");
            return;
        }
        if (row === undefined) {
            done({ headVersion: 0, configuration: emptyConfiguration });
            return;
        }
        const { revision } = row.value as HeadRow;
        store.read(process, formatRevisionKey(toRevision(revision)), stored =>
            done(
                stored === "failed" || stored === undefined
                    ? "failed"
                    : { headVersion: row.version, configuration: stored.value as Configuration },
            ));
    });
}
