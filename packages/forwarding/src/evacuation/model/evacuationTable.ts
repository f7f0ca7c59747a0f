/** The evacuations in effect on this host, and the timers of those that are retained. */
import type { FailureDomainId } from "@currantrill/protocol";
import type Logger from "bunyan";
import type { Evacuation, RetainedEvacuation } from "./evacuation.js";

/** An evacuation with what has been logged about it. */
export interface EvacuationState extends Evacuation {
    readonly beganAtMs: number;
    readonly timer?: NodeJS.Timeout;
    hasLoggedFinding: boolean;
    hasLoggedUnknown: boolean;
}

export interface EvacuationTable {
    readonly get: (domain: FailureDomainId) => EvacuationState | undefined;
    readonly list: () => readonly EvacuationState[];
    /** Puts an evacuation into effect that ends with its row. Returns its state. */
    readonly put: (evacuation: Pick<Evacuation, "domain" | "position">) => EvacuationState;
    /** Puts an evacuation into effect that ends after a time. */
    readonly retain: (retained: RetainedEvacuation) => void;
    /** Ends an evacuation, if there is one. */
    readonly end: (domain: FailureDomainId, reason: string) => void;
    readonly close: () => void;
}

export interface EvacuationTableOptions {
    readonly log: Logger;
    /** Called with the number of evacuated domains when it may have changed, for metrics. */
    readonly onCount?: (count: number) => void;
    /** Called when an evacuation has ended: the endpoints of the domain get requests again, and may be cold. */
    readonly onReturn?: (domain: FailureDomainId) => void;
}

export function createEvacuationTable(
    { log, onCount = () => undefined, onReturn = () => undefined }: EvacuationTableOptions,
): EvacuationTable {
    const evacuations = new Map<FailureDomainId, EvacuationState>();
    const set = (evacuation: Evacuation & Pick<EvacuationState, "timer">): EvacuationState => {
        const known = evacuations.get(evacuation.domain);
        clearTimeout(known?.timer);
        const state: EvacuationState = {
            beganAtMs: known?.beganAtMs ?? performance.now(),
            hasLoggedFinding: known?.hasLoggedFinding ?? false,
            hasLoggedUnknown: known?.hasLoggedUnknown ?? false,
            ...evacuation,
        };
        evacuations.set(evacuation.domain, state);
        onCount(evacuations.size);
        return state;
    };
    const end = (domain: FailureDomainId, reason: string): void => {
        const state = evacuations.get(domain);
        if (state === undefined) {
            return;
        }
        clearTimeout(state.timer);
        evacuations.delete(domain);
        onCount(evacuations.size);
        log.info({ domain, reason, durationMs: Math.round(performance.now() - state.beganAtMs) }, "evacuation: ended");
        onReturn(domain);
    };
    return {
        get: domain => evacuations.get(domain),
        list: () => [...evacuations.values()],
        put: ({ domain, position }) => set({ domain, position }),
        retain: ({ domain, position, remainingMs }) => {
            const timer = setTimeout(() => end(domain, "row not written again"), remainingMs).unref();
            set({ domain, position, endsAtMs: performance.now() + remainingMs, timer });
        },
        end,
        close: () => evacuations.forEach(({ timer }) => clearTimeout(timer)),
    };
}
