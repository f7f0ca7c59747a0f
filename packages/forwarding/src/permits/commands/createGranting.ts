/** What this host grants itself: limits that endpoints name, and rates of cold endpoints. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { Endpoint, EndpointDirectory } from "../../endpoints/model/endpointDirectory.js";
import type { FleetView } from "../../peers/model/fleetView.js";
import { type ColdGranting, createColdGranting } from "../../warmup/commands/createColdGranting.js";
import { createPermitLedger, type LedgerNeed } from "../model/permitLedger.js";
import { estimateWaitMs } from "../model/tokenBucket.js";
import type { PermitAnswer, PermitNeed } from "../queries/permitCodec.js";

/** Validity of the known host that grants permits: ranking the hosts of a domain takes a time that grows with it. */
const GRANTER_VALID_MS = 50;

export interface GrantingOptions {
    readonly directory: EndpointDirectory;
    readonly fleet: Pick<
        FleetView,
        "countByDomain" | "listCoordinators" | "listLocalDomain" | "listRemoteCoordinators"
    >;
    /** Address of this host. */
    readonly address: string;
    /** Whether the settings name other hosts. */
    readonly hasSeeds: boolean;
}

export interface Granting {
    /** Returns the address of the host that grants the permits of an endpoint. */
    readonly findGranter: (endpoint: Endpoint) => string;
    readonly isGranter: (endpoint: Endpoint) => boolean;
    /** Grants permits, all or none. Returns `undefined` if this host grants none to one of the cold endpoints now. */
    readonly grant: (needs: readonly PermitNeed[]) => PermitAnswer | undefined;
    /** Returns the time until this host can grant a permit, in milliseconds; `undefined` like `grant`. */
    readonly getWaitMs: (need: PermitNeed) => number | undefined;
    readonly cold: ColdGranting;
}

export function createGranting({ directory, fleet, address, hasSeeds }: GrantingOptions): Granting {
    const ledger = createPermitLedger();
    const findGranter = createGranterFinder(fleet, address, directory.localFailureDomain);
    const isGranter = (endpoint: Endpoint): boolean => findGranter(endpoint) === address;
    const cold = createColdGranting({
        fleet,
        localDomain: directory.localFailureDomain,
        address,
        hasSeeds,
        listGrantedDomains: () =>
            new Set(directory.listAll().filter(isGranter).map(({ entry }) => entry.failureDomain)),
    });
    const toLedgerNeed = ({ isCold, ...need }: PermitNeed): LedgerNeed | undefined => {
        if (!isCold) {
            return need;
        }
        const domain = directory.get(need.endpointId)?.entry.failureDomain;
        const allowance = domain === undefined ? undefined : cold.getAllowance(domain, need.requestsPerSecond);
        return allowance && { ...need, ...allowance };
    };
    return {
        findGranter,
        isGranter,
        cold,
        grant: needs => {
            const ledgerNeeds = needs.flatMap(need => toLedgerNeed(need) ?? []);
            return ledgerNeeds.length < needs.length ? undefined : ledger.grant(ledgerNeeds, performance.now());
        },
        getWaitMs: need => {
            const ledgerNeed = toLedgerNeed(need);
            return ledgerNeed === undefined ? undefined : estimateWaitMs(
                ledger.getLevel(ledgerNeed, performance.now()),
                ledgerNeed.requestsPerSecond,
                ledgerNeed.permitsLeft,
            );
        },
    };
}

/** Creates the function that finds the host which grants the permits of an endpoint. Its results are kept for a time. */
function createGranterFinder(
    fleet: GrantingOptions["fleet"],
    address: string,
    localDomain: FailureDomainId,
): (endpoint: Endpoint) => string {
    const granters = new Map<FailureDomainId, { readonly granter: string; readonly untilMs: number; }>();
    return ({ entry: { failureDomain } }) => {
        const nowMs = performance.now();
        const known = granters.get(failureDomain);
        if (known !== undefined && known.untilMs > nowMs) {
            return known.granter;
        }
        // For a domain without a live host, the coordinator with the lowest address grants them.
        const others = [...fleet.listRemoteCoordinators(), ...fleet.listCoordinators(localDomain)];
        const granter = fleet.listCoordinators(failureDomain)[0] ?? others.sort()[0] ?? address;
        granters.set(failureDomain, { granter, untilMs: nowMs + GRANTER_VALID_MS });
        return granter;
    };
}
