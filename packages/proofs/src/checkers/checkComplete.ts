import { type History, listEvents, splitBy } from "../model/history.js";

/**
 * Finds gaps: a missing sequence number, an operation that does not have exactly one end, a missing entry in the ledger
 * of a stand-in, or no last event. A history with a gap cannot show that a guarantee holds.
 */
export function checkComplete(history: History): string[] {
    return [
        ...checkSequence("history", history.map(event => event.seq)),
        ...checkOperations(history),
        ...checkLedgers(history),
        ...history.at(-1)?.type === "finished" ? [] : ["gap: the history has no last event"],
    ];
}

function checkSequence(source: string, numbers: readonly number[]): string[] {
    const index = numbers.findIndex((number, position) => number !== position + 1);
    return index === -1 ? [] : [`gap: ${source} has ${numbers[index] ?? "nothing"} where ${index + 1} is due`];
}

function checkOperations(history: History): string[] {
    const ends = new Map<string, number>();
    for (const { operation } of listEvents(history, "answered")) {
        ends.set(operation, (ends.get(operation) ?? 0) + 1);
    }
    const called = new Set(listEvents(history, "called").map(event => event.operation));
    return [
        ...[...called].filter(operation => ends.get(operation) !== 1).map(operation =>
            `gap: ${operation} has ${ends.get(operation) ?? 0} ends`
        ),
        ...[...ends.keys()].filter(operation => !called.has(operation)).map(operation =>
            `gap: ${operation} has an end and no begin`
        ),
    ];
}

function checkLedgers(history: History): string[] {
    const ledgers = splitBy(listEvents(history, "executed"), event => event.standin);
    return [...ledgers].flatMap(([standin, entries]) =>
        checkSequence(`ledger of ${standin}`, entries.map(entry => entry.standinSeq))
    );
}
