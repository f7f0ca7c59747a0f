import type { ServiceId } from "@currantrill/protocol";
import type { SuspectId } from "./suspect.js";
import { createSuspectKey, type SuspectKey } from "./suspectKey.js";

/**
 * Limit on the suspects whose answers are remembered. The ones that were used least recently are dropped, which only removes
 * evidence of innocence that is older than that of all others.
 */
const MAX_SUSPECTS = 4_096;

/**
 * A time that comes back from a peer is later by the delay of two messages. Without a tolerance, hosts that tell each
 * other the same time would make it ever later.
 */
const MERGE_TOLERANCE_MS = 250;

/** Answers that have begun on prompts with a suspect. */
export interface KnownAnswers {
    /** Number of answers on this host, or the largest number that another host has announced. */
    readonly count: number;
    /** Begin of the latest answer on any host, on the monotonic clock of this host. */
    readonly lastAtMs: number;
}

/** Remembers on which suspects endpoints have written answers. */
export interface AnswerLog {
    /** Records an answer to a prompt. `beganAtMs` is the time of its first event. */
    readonly record: (service: ServiceId, suspects: readonly SuspectId[], beganAtMs: number) => void;
    /** Merges what another host has announced. */
    readonly merge: (service: ServiceId, suspect: SuspectId, answers: KnownAnswers) => void;
    readonly get: (service: ServiceId, suspect: SuspectId) => KnownAnswers | undefined;
    /** Lists the answers on a suspect by service. */
    readonly list: (suspect: SuspectId) => readonly (KnownAnswers & { readonly service: ServiceId; })[];
    /** Returns the begin of the latest answer of a service on this host, `-Infinity` if there was none. */
    readonly getLastOfService: (service: ServiceId) => number;
}

/** Creates an empty log. */
export function createAnswerLog(): AnswerLog {
    /** In the order of the last use. */
    const known = new Map<SuspectKey, KnownAnswers>();
    const services = new Map<ServiceId, number>();
    const put = (key: SuspectKey, answers: KnownAnswers): void => {
        known.delete(key);
        known.set(key, answers);
        const oldest = known.size > MAX_SUSPECTS ? known.keys().next().value : undefined;
        if (oldest !== undefined) {
            known.delete(oldest);
        }
    };
    return {
        record: (service, suspects, beganAtMs) => {
            services.set(service, Math.max(services.get(service) ?? -Infinity, beganAtMs));
            for (const suspect of suspects) {
                const key = createSuspectKey(service, suspect);
                const before = known.get(key);
                put(key, {
                    count: (before?.count ?? 0) + 1,
                    lastAtMs: Math.max(before?.lastAtMs ?? -Infinity, beganAtMs),
                });
            }
        },
        merge: (service, suspect, { count, lastAtMs }) => {
            const key = createSuspectKey(service, suspect);
            const before = known.get(key);
            const isNewer = lastAtMs > (before?.lastAtMs ?? -Infinity) + MERGE_TOLERANCE_MS;
            put(key, {
                count: Math.max(before?.count ?? 0, count),
                lastAtMs: isNewer ? lastAtMs : before?.lastAtMs ?? lastAtMs,
            });
        },
        get: (service, suspect) => known.get(createSuspectKey(service, suspect)),
        list: suspect =>
            [...services.keys()].flatMap(service => {
                const found = known.get(createSuspectKey(service, suspect));
                return found === undefined ? [] : [{ service, ...found }];
            }),
        getLastOfService: service => services.get(service) ?? -Infinity,
    };
}
