/**
 * Time slots in which a host sends to a cold endpoint while no host grants permits to it. A bucket for each host would
 * not do: after an idle time all hosts of a large fleet would have a permit at the same moment.
 */
import { type Clocks, measureElapsed } from "@currantrill/protocol";

/**
 * Fraction of the rate that is shared. With the rate that a host may grant meanwhile, and permits that are used a tenth
 * of a second late, the sum is 1.1 x 4/3 of the rate, below 1.5.
 */
const SHARED_FRACTION = 1 / 3;
const MS_PER_SECOND = 1_000;
/** Endpoints without a use for this time are dropped. It is longer than a cycle of 340 hosts at a request a second. */
const FORGET_MS = 1_200_000;

export interface ShareOptions {
    readonly endpointId: string;
    /** Rate of the endpoint, from all hosts together. */
    readonly requestsPerSecond: number;
    /** Number of hosts that share the rate. */
    readonly hosts: number;
    /** Position of this host among them, from 0 on. */
    readonly rank: number;
}

export interface ShareSlots {
    /** Returns whether this host may send now. */
    readonly canTake: (share: ShareOptions, now: Clocks) => boolean;
    /** Records that it does. */
    readonly take: (endpointId: string, now: Clocks) => void;
}

/** Creates the slots of a host. */
export function createShareSlots(): ShareSlots {
    const takenAt = new Map<string, Clocks>();
    return {
        canTake: ({ endpointId, requestsPerSecond, hosts, rank }, now) => {
            const slotMs = MS_PER_SECOND / (requestsPerSecond * SHARED_FRACTION);
            const slot = Math.floor(now.wallMs / slotMs) + computeHash(endpointId);
            const last = takenAt.get(endpointId);
            // The monotonic clock: a step of the wall clock must not lead to the same slot again.
            const isSpaced = last === undefined
                || now.monotonicMs - last.monotonicMs >= Math.max(1, hosts - 1) * slotMs;
            return isSpaced && slot % hosts === rank;
        },
        take: (endpointId, now) => {
            takenAt.delete(endpointId);
            takenAt.set(endpointId, now);
            const [oldest] = takenAt;
            if (oldest !== undefined && measureElapsed(oldest[1], now) > FORGET_MS) {
                takenAt.delete(oldest[0]);
            }
        },
    };
}

/** Shifts the slots of each endpoint, so that a host has those of different endpoints at different times. */
function computeHash(text: string): number {
    let value = 0;
    for (const character of text) {
        value = (Math.imul(value, 31) + (character.codePointAt(0) ?? 0)) >>> 0;
    }
    return value;
}
