/** Whether a coordinator knows the assignments of its failure domain well enough to place prompts. */
import { type Clocks, measureElapsed } from "@currantrill/protocol";

/** Time after which all hosts of the domain have sent their state to a new coordinator: they do so every 500 ms. */
const WARM_UP_MS = 750;
/** A longer time between two checks shows that the process was paused, so that its knowledge is outdated. */
const MAX_CHECK_GAP_MS = 1_200;

export interface CoordinatorReadiness {
    /** Records whether this host coordinates its domain; called regularly. */
    readonly check: (isCoordinator: boolean, now: Clocks) => void;
    /** Returns whether the host can place prompts for others. */
    readonly isReady: (now: Clocks) => boolean;
}

/** Creates the state of a host that does not coordinate. */
export function createCoordinatorReadiness(): CoordinatorReadiness {
    let since: Clocks | undefined;
    let lastCheck: Clocks | undefined;
    const wasPaused = (now: Clocks): boolean =>
        lastCheck !== undefined && measureElapsed(lastCheck, now) > MAX_CHECK_GAP_MS;
    return {
        check: (isCoordinator, now) => {
            since = isCoordinator ? (wasPaused(now) ? now : since ?? now) : undefined;
            lastCheck = now;
        },
        isReady: now => since !== undefined && !wasPaused(now) && measureElapsed(since, now) >= WARM_UP_MS,
    };
}
