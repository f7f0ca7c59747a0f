/** Updates the freshness of the configuration from reads of the platform and from heartbeat answers. */
import type { PongMessage, Revision } from "@currantrill/protocol";
import type { Clocks } from "@currantrill/protocol";
import type { Freshness } from "../model/lending.js";

/**
 * Records a read of `head` that started at `startedAt`. The caller adopts the revision first: a head that is newer than
 * the local revision confirms nothing.
 */
export function recordPlatformRead(
    freshness: Freshness,
    startedAt: Clocks,
    headRevision: Revision,
    localRevision: Revision,
): Freshness {
    return localRevision < headRevision ? freshness : { confirmedAt: chooseLater(freshness.confirmedAt, startedAt) };
}

/**
 * Records a heartbeat answer. The confirmation that it reports is no older than the send time of the ping minus the
 * reported age, however long the answer was in transit. An answer from a peer with a newer revision confirms nothing
 * about the local revision.
 */
export function recordHeartbeatAnswer(
    freshness: Freshness,
    pingSentAt: Clocks,
    pong: Pick<PongMessage, "revision" | "confirmationAgeMs">,
    localRevision: Revision,
): Freshness {
    if (pong.confirmationAgeMs === undefined || localRevision < pong.revision) {
        return freshness;
    }
    const confirmedAt = {
        wallMs: pingSentAt.wallMs - pong.confirmationAgeMs,
        monotonicMs: pingSentAt.monotonicMs - pong.confirmationAgeMs,
    };
    return { confirmedAt: chooseLater(freshness.confirmedAt, confirmedAt) };
}

/** Compares by the monotonic clock, which never steps back. */
function chooseLater(known: Clocks | undefined, candidate: Clocks): Clocks {
    return known !== undefined && known.monotonicMs >= candidate.monotonicMs ? known : candidate;
}
