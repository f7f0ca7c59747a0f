/** Decides whether an endpoint takes new work from this host. */
import type { Clocks } from "@currantrill/protocol";
import { measureElapsed } from "@currantrill/protocol";
import type { FailureDomainId } from "@currantrill/protocol";
import type { EndpointObject } from "../../model/configuration.js";
import {
    allLendingSafeguards,
    type Freshness,
    type LendingDecision,
    type LendingReason,
    type LendingSafeguards,
    type LocalStops,
    type OwnerReport,
} from "../model/lending.js";

interface LendingInput {
    readonly endpoint: EndpointObject;
    readonly evacuatedDomains: ReadonlySet<FailureDomainId>;
    readonly stops: LocalStops;
    readonly freshness: Freshness;
    readonly report: OwnerReport | undefined;
    readonly now: Clocks;
}

/**
 * Checks in order of precedence; the first that applies is the reason. An evacuation comes after the owner's reasons,
 * because those end work in flight and an evacuation does not.
 */
const checks: readonly {
    readonly reason: LendingReason;
    readonly safeguard: keyof LendingSafeguards;
    readonly applies: (input: LendingInput) => boolean;
}[] = [
    { reason: "reclaimed", safeguard: "obeyReclaim", applies: ({ endpoint }) => endpoint.lending === "reclaimed" },
    {
        reason: "stopped",
        safeguard: "obeyStops",
        applies: ({ endpoint, stops }) => {
            const stop = stops[endpoint.name];
            return stop !== undefined && stop.lendEpoch >= endpoint.lendEpoch;
        },
    },
    { reason: "withdrawn", safeguard: "obeyWithdrawal", applies: ({ report }) => report?.withdrawn === true },
    {
        reason: "evacuated",
        safeguard: "obeyEvacuation",
        applies: ({ endpoint, evacuatedDomains }) => evacuatedDomains.has(endpoint.failureDomain),
    },
    {
        reason: "silent",
        safeguard: "obeyMaxSilence",
        applies: ({ endpoint, freshness, now }) => measureConfirmationAge(freshness, now) > endpoint.maxSilenceMs,
    },
];

/** `evacuatedDomains` comes from `listEvacuatedDomains` on the active configuration. */
export function decideLending(
    endpoint: EndpointObject,
    evacuatedDomains: ReadonlySet<FailureDomainId>,
    stops: LocalStops,
    freshness: Freshness,
    report: OwnerReport | undefined,
    now: Clocks,
    safeguards: LendingSafeguards = allLendingSafeguards,
): LendingDecision {
    const input = { endpoint, evacuatedDomains, stops, freshness, report, now };
    const failed = checks.find(check => safeguards[check.safeguard] && check.applies(input));
    return failed === undefined ? { usable: true } : { usable: false, reason: failed.reason };
}

/** Milliseconds since the last confirmation of the configuration; infinite if there was none. */
export function measureConfirmationAge(freshness: Freshness, now: Clocks): number {
    return freshness.confirmedAt === undefined ? Infinity : measureElapsed(freshness.confirmedAt, now);
}
