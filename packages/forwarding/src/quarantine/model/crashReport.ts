import type { ServiceId } from "@currantrill/protocol";
import type { SuspectId } from "./suspect.js";

/** A request that was on an endpoint when it crashed. */
export interface CrashedRequest {
    readonly suspect: SuspectId;
    /** Begin of its attempt there, on the monotonic clock of this host; of several, the latest. */
    readonly sentAtMs: number;
}

/** The end of an endpoint's process while requests were on it, merged from the reports of all hosts. */
export interface CrashReport {
    readonly endpointId: string;
    /** Distinguishes the runs of an endpoint that keeps its id, in Unix milliseconds. */
    readonly processStartedAtMs: number;
    readonly service: ServiceId;
    /** Time on the monotonic clock of this host. */
    readonly crashedAtMs: number;
    /**
     * Shared parts of prompts whose response had begun without any event, in the order of the prompts. An endpoint that
     * fails as it begins to write an answer is in this state for the prompt at fault; other prompts are in it for a few
     * milliseconds.
     */
    readonly begunParts: readonly SuspectId[];
    /** Shared parts of prompts whose response had not begun, or had one event. */
    readonly waitingParts: readonly SuspectId[];
    /** Whole requests that had no answer. */
    readonly requests: readonly CrashedRequest[];
}

/** Returns a key that all hosts use for the same crash. */
export const describeCrash = ({ endpointId, processStartedAtMs }: CrashReport): string =>
    `${endpointId}@${processStartedAtMs}`;

/** Lists the parts that may have caused the crash: those of responses that had begun, if any host has reported some. */
const listSuspectedParts = ({ begunParts, waitingParts }: CrashReport): readonly SuspectId[] =>
    begunParts.length > 0 ? begunParts : waitingParts;

/** Lists what may have caused the crash. */
export const listSuspects = (report: CrashReport): readonly SuspectId[] => [
    ...listSuspectedParts(report),
    ...report.requests.map(({ suspect }) => suspect),
];

/** Lists all that was on the endpoint. */
export const listAllSuspects = ({ begunParts, waitingParts, requests }: CrashReport): readonly SuspectId[] => [
    ...requests.map(({ suspect }) => suspect),
    ...begunParts,
    ...waitingParts,
];

/** Merges two reports of the same crash. Requests that other reports name are kept before others. */
export const mergeReports = (
    known: CrashReport,
    added: CrashReport,
    namedElsewhere: ReadonlySet<SuspectId>,
): CrashReport => ({
    ...known,
    crashedAtMs: Math.min(known.crashedAtMs, added.crashedAtMs),
    begunParts: mergeParts(known.begunParts, added.begunParts),
    waitingParts: mergeParts(known.waitingParts, added.waitingParts),
    requests: mergeRequests(listFromFirst(known, added), listFromFirst(added, known), namedElsewhere),
});

/** Limit on the parts of a report. An endpoint runs up to 16 prompts at once, of which few have no event yet. */
const MAX_PARTS = 32;
/** Limit on the requests of a report. A request crashes its endpoint soon, so that those sent last are kept. */
const MAX_REQUESTS = 16;

const mergeParts = (known: readonly SuspectId[], added: readonly SuspectId[]): readonly SuspectId[] =>
    [...new Set([...known, ...added])].slice(0, MAX_PARTS);

/**
 * Lists the requests of a report as if it were as early as the earlier one of two: its own times differ from those of the
 * other host by the delay of messages, and no attempt was sent after the crash that ended it.
 */
function listFromFirst(report: CrashReport, other: CrashReport): readonly CrashedRequest[] {
    const lateMs = report.crashedAtMs - Math.min(report.crashedAtMs, other.crashedAtMs);
    return report.requests.map(each => ({ ...each, sentAtMs: each.sentAtMs - lateMs }));
}

function mergeRequests(
    known: readonly CrashedRequest[],
    added: readonly CrashedRequest[],
    namedElsewhere: ReadonlySet<SuspectId>,
): readonly CrashedRequest[] {
    const merged = new Map<SuspectId, CrashedRequest>();
    // Those that are added come first: of requests of the same rank, they are kept.
    for (const each of [...added, ...known]) {
        const sentAtMs = Math.max(each.sentAtMs, merged.get(each.suspect)?.sentAtMs ?? -Infinity);
        merged.set(each.suspect, { ...each, sentAtMs });
    }
    const rank = ({ suspect }: CrashedRequest): number => namedElsewhere.has(suspect) ? 0 : 1;
    return [...merged.values()].sort((a, b) => rank(a) - rank(b) || b.sentAtMs - a.sentAtMs).slice(0, MAX_REQUESTS);
}
