/** Checkers of the guarantees for streamed answers. */
import { type EventOfType, type History, listEvents, splitBy } from "../model/history.js";
import { progressLimits } from "../streams/runStreams.js";

/** P3: an answer has each token of its request exactly once and in order, from the attempt that was then current. */
export function checkWholeStreams(history: History): string[] {
    const tokens = splitBy(listEvents(history, "token"), event => event.operation);
    const answers = new Map(listEvents(history, "answered").map(event => [event.operation, event]));
    return listEvents(history, "called").flatMap(({ operation, payload }) => {
        const delivered = tokens.get(operation) ?? [];
        const complete = delivered.length === Number(payload);
        return [
            ...delivered.flatMap((token, position) => checkToken(history, token, position)),
            ...answers.get(operation)?.outcome === "answered" && !complete
                ? [`${operation} is answered with ${delivered.length} of ${payload} tokens`]
                : [],
        ];
    });
}

function checkToken(history: History, token: EventOfType<"token">, position: number): string[] {
    const current = listEvents(history, "streamAttempt").findLast(event =>
        event.operation === token.operation && event.seq < token.seq
    );
    const where = `${token.operation}: token ${token.index} of ${token.attempt}`;
    return [
        ...token.index === position ? [] : [`${where} is delivered as number ${position}`],
        ...token.request === token.operation ? [] : [`${where} belongs to ${token.request}`],
        ...current?.attempt === token.attempt ? [] : [`${where} is delivered after that attempt was given up`],
    ];
}

type ProgressEvent = EventOfType<"called" | "streamAttempt" | "token" | "repeated" | "answered">;
const progressTypes: ReadonlySet<string> = new Set(["called", "streamAttempt", "token", "repeated", "answered"]);

/** A prompt never waits longer than its progress limit for a token, a new attempt or its end. */
export function checkSilentConnections(history: History): string[] {
    const progress = history.filter((event): event is ProgressEvent => progressTypes.has(event.type));
    const limitMs = Math.max(progressLimits.firstTokenMs, progressLimits.betweenTokensMs);
    return [...splitBy(progress, event => event.operation)].flatMap(([operation, events]) =>
        events.flatMap((event, index) => {
            const idleMs = event.atMs - (events[index - 1]?.atMs ?? event.atMs);
            return idleMs > limitMs ? [`${operation} waits ${idleMs} ms without progress until ${event.atMs}`] : [];
        })
    );
}
