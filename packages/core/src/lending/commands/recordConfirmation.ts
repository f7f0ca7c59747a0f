/** Freshness of the configuration, from reads of the platform and from heartbeat answers. */
import type { PongMessage, Revision } from "@currantrill/protocol";
import type { Clocks } from "../../model/clocks.js";
import type { Freshness } from "../model/lending.js";

/**
 * Counts a read of `head` that started at `startedAt`. The caller adopts the revision first: a head that is newer than
 * what is in force here confirms nothing.
 */
export function recordPlatformRead(
    freshness: Freshness,
    startedAt: Clocks,
    headRevision: Revision,
    ownRevision: Revision,
): Freshness {
    return ownRevision < headRevision ? freshness : { confirmedAt: chooseLater(freshness.confirmedAt, startedAt) };
}

/**
 * Counts a heartbeat answer. Its age refers to a time not before the own ping minus that age, however long the answer
 * was under way. An answer from a peer with a newer revision confirms nothing about the revision in force here.
 */
export function recordHeartbeatAnswer(
    freshness: Freshness,
    pingSentAt: Clocks,
    pong: Pick<PongMessage, "revision" | "confirmationAgeMs">,
    ownRevision: Revision,
): Freshness {
    if (pong.confirmationAgeMs === undefined || ownRevision < pong.revision) {
        return freshness;
    }
    const confirmedAt = {
        wallMs: pingSentAt.wallMs - pong.confirmationAgeMs,
        monotonicMs: pingSentAt.monotonicMs - pong.confirmationAgeMs,
    };
    return { confirmedAt: chooseLater(freshness.confirmedAt, confirmedAt) };
}

/** Compares by the monotonic clock, which never goes back. */
function chooseLater(known: Clocks | undefined, candidate: Clocks): Clocks {
    return known !== undefined && known.monotonicMs >= candidate.monotonicMs ? known : candidate;
}
