/** P8: a committed configuration is in force on every reachable host within 5 s, and is never reverted. */
import { type EventOfType, type History, listEvents, splitBy } from "../model/history.js";
import { createReachability } from "./reachability.js";

/** Time limit for a host that updates can reach to adopt a committed revision. */
const MAX_ADOPTION_DELAY_MS = 5_000;

/** Returns a finding for each violation of P8. */
export function checkConfiguration(history: History): string[] {
    return [
        ...checkNoRevert(history),
        ...checkContents(history),
        ...checkTickets(history),
        ...checkInForce(history),
        ...checkFinalRevision(history),
    ];
}

/** The revision on one process only increases. */
function checkNoRevert(history: History): string[] {
    const inForce = new Map<string, number>();
    return history.flatMap(event => {
        if (event.type === "started") {
            inForce.delete(event.host);
        }
        if (event.type !== "adopted") {
            return [];
        }
        const before = inForce.get(event.host) ?? 0;
        inForce.set(event.host, event.revision);
        return event.revision > before ? [] : [`${event.host} goes from revision ${before} to ${event.revision}`];
    });
}

/** A revision has the same content on all hosts, and each ticket number is committed at most once. */
function checkContents(history: History): string[] {
    const committed = listEvents(history, "committed");
    const contents = new Map(committed.map(event => [event.revision, event.content]));
    const repeated = [...splitBy(committed, event => String(event.ticket))].filter(([, events]) => events.length > 1);
    return [
        ...repeated.map(([ticket]) => `ticket ${ticket} is committed more than once`),
        ...listEvents(history, "adopted")
            .filter(event => contents.get(event.revision) !== event.content)
            .map(event => `${event.host} has another content of revision ${event.revision} than the platform`),
    ];
}

/** The answer to the operator is correct: an applied ticket is committed, a refused one is not and never will be. */
function checkTickets(history: History): string[] {
    const committed = listEvents(history, "committed");
    const tickets = new Map(
        listEvents(history, "called").filter(event => event.action === "ticket").map(event => [event.operation, event]),
    );
    return listEvents(history, "answered").flatMap(({ operation, outcome, body, atMs }) => {
        const ticket = tickets.get(operation);
        if (ticket === undefined) {
            return [];
        }
        if (outcome === "refused") {
            return committed.some(event => event.operation === operation)
                ? [`${operation} is reported as refused and is committed`]
                : [];
        }
        const applied = committed.some(event =>
            String(event.ticket) === ticket.key && String(event.revision) === body && event.atMs <= atMs
        );
        return outcome === "applied" && !applied ? [`${operation} is reported as applied and is not committed`] : [];
    });
}

/** A host that updates could reach during the whole time limit has adopted the revision or a newer one. */
function checkInForce(history: History): string[] {
    const reachability = createReachability(history);
    const adopted = splitBy(listEvents(history, "adopted"), event => event.host);
    const endMs = history.at(-1)?.atMs ?? 0;
    return listEvents(history, "committed").flatMap(({ revision, atMs }) => {
        const interval = { fromMs: atMs, toMs: atMs + MAX_ADOPTION_DELAY_MS };
        return reachability.hosts.filter(host =>
            interval.toMs <= endMs
            && reachability.canReceiveUpdates(host, interval)
            && !hasRevision(adopted.get(host), revision, interval.toMs)
        ).map(host =>
            `${host} does not have revision ${revision} in force ${MAX_ADOPTION_DELAY_MS} ms after its commit`
        );
    });
}

const hasRevision = (events: EventOfType<"adopted">[] | undefined, revision: number, untilMs: number): boolean =>
    events?.some(event => event.revision >= revision && event.atMs <= untilMs) === true;

/** At the end of the history, after the last fault, every running host has the newest revision. */
function checkFinalRevision(history: History): string[] {
    const newest = Math.max(0, ...listEvents(history, "committed").map(event => event.revision));
    const endMs = history.at(-1)?.atMs ?? 0;
    const reachability = createReachability(history);
    return reachability.hosts.filter(host => reachability.isRunning(host, { fromMs: endMs, toMs: endMs })).flatMap(
        host => {
            const last = listEvents(history, "adopted").filter(event => event.host === host).at(-1)?.revision ?? 0;
            return last === newest ? [] : [`${host} ends with revision ${last}, the platform with ${newest}`];
        },
    );
}
