/** Checkers of streamed answers. */
import { type EventOfType, type History, listEvents, splitBy } from "../model/history.js";
import { progressLimits } from "../streams/runStreams.js";

/** P3: an answer is every token of its own request once, in order, each from the attempt that was current. */
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

/** No connection is waited for longer than the limit on progress: there is a token, a new attempt or the end. */
export function checkSilentConnections(history: History): string[] {
    const progress = history.filter((event): event is ProgressEvent => progressTypes.has(event.type));
    const limitMs = Math.max(progressLimits.firstTokenMs, progressLimits.betweenTokensMs);
    return [...splitBy(progress, event => event.operation)].flatMap(([operation, events]) =>
        events.flatMap((event, index) => {
            const silentMs = event.atMs - (events[index - 1]?.atMs ?? event.atMs);
            return silentMs > limitMs ? [`${operation} waits ${silentMs} ms without progress until ${event.atMs}`] : [];
        })
    );
}
