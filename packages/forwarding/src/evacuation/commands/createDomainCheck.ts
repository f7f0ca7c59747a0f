import type { FailureDomainId } from "@currantrill/protocol";
import type Logger from "bunyan";
import type { EvacuationTable } from "../model/evacuationTable.js";

/** Time after which an evacuation of a domain without a known endpoint is logged; entries may be read after it. */
const UNKNOWN_DOMAIN_DELAY_MS = 5_000;

/**
 * Creates the check of the evacuated domains against those of the known endpoints. It logs each evacuation of an unknown
 * domain once, and that all domains are evacuated once until one returns.
 */
export function createDomainCheck(
    evacuations: EvacuationTable,
    log: Logger,
): (known: ReadonlySet<FailureDomainId>) => void {
    let isEverywhere = false;
    return known => {
        const nowMs = performance.now();
        for (const state of evacuations.list()) {
            const isUnknown = !known.has(state.domain) && nowMs - state.beganAtMs >= UNKNOWN_DOMAIN_DELAY_MS;
            if (isUnknown && !state.hasLoggedUnknown) {
                state.hasLoggedUnknown = true;
                log.warn({ domain: state.domain, known: [...known] }, "evacuation: no endpoint of the domain is known");
            }
        }
        const wasEverywhere = isEverywhere;
        isEverywhere = known.size > 0 && [...known].every(domain => evacuations.get(domain) !== undefined);
        if (isEverywhere && !wasEverywhere) {
            log.error({ domains: [...known] }, "evacuation: all domains are evacuated, requests are refused");
        }
    };
}
