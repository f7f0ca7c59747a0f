import type { ServiceId } from "@currantrill/protocol";
import { createPartKey, type PartKey } from "./partKey.js";

/**
 * Limit on the parts whose answers are remembered. The ones that were used least recently are dropped, which only removes
 * evidence of innocence that is older than that of all others.
 */
const MAX_PARTS = 4_096;

/**
 * A time that comes back from a peer is later by the delay of two messages. Without a tolerance, hosts that tell each
 * other the same time would make it ever later.
 */
const MERGE_TOLERANCE_MS = 250;

/** Answers that have begun on prompts with a part. */
export interface PartAnswers {
    /** Number of answers on this host, or the largest number that another host has announced. */
    readonly count: number;
    /** Begin of the latest answer on any host, on the monotonic clock of this host. */
    readonly lastAtMs: number;
}

/** Remembers on which parts of prompts endpoints have written answers. */
export interface AnswerLog {
    /** Records an answer to a prompt. `beganAtMs` is the time of its first event. */
    readonly record: (service: ServiceId, parts: readonly string[], beganAtMs: number) => void;
    /** Merges what another host has announced. */
    readonly merge: (service: ServiceId, part: string, answers: PartAnswers) => void;
    readonly get: (service: ServiceId, part: string) => PartAnswers | undefined;
    /** Returns the begin of the latest answer of a service on this host, `-Infinity` if there was none. */
    readonly getLastOfService: (service: ServiceId) => number;
}

/** Creates an empty log. */
export function createAnswerLog(): AnswerLog {
    /** In the order of the last use. */
    const parts = new Map<PartKey, PartAnswers>();
    const services = new Map<ServiceId, number>();
    const put = (key: PartKey, answers: PartAnswers): void => {
        parts.delete(key);
        parts.set(key, answers);
        const oldest = parts.size > MAX_PARTS ? parts.keys().next().value : undefined;
        if (oldest !== undefined) {
            parts.delete(oldest);
        }
    };
    return {
        record: (service, listed, beganAtMs) => {
            services.set(service, Math.max(services.get(service) ?? -Infinity, beganAtMs));
            for (const part of listed) {
                const key = createPartKey(service, part);
                const known = parts.get(key);
                put(key, {
                    count: (known?.count ?? 0) + 1,
                    lastAtMs: Math.max(known?.lastAtMs ?? -Infinity, beganAtMs),
                });
            }
        },
        merge: (service, part, { count, lastAtMs }) => {
            const key = createPartKey(service, part);
            const known = parts.get(key);
            const isNewer = lastAtMs > (known?.lastAtMs ?? -Infinity) + MERGE_TOLERANCE_MS;
            put(key, {
                count: Math.max(known?.count ?? 0, count),
                lastAtMs: isNewer ? lastAtMs : known?.lastAtMs ?? lastAtMs,
            });
        },
        get: (service, part) => parts.get(createPartKey(service, part)),
        getLastOfService: service => services.get(service) ?? -Infinity,
    };
}
