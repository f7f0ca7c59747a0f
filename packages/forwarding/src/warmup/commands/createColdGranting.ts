/** What this host grants, or takes without an answer, of the rates of cold endpoints. */
import { type FailureDomainId, readClocks } from "@currantrill/protocol";
import type { FleetView } from "../../peers/model/fleetView.js";
import { createFleetMemory } from "../model/fleetMemory.js";
import { createGranterTenure } from "../model/granterTenure.js";
import { createShareSlots, type ShareOptions } from "../model/shareSlots.js";
import { type Allowance, computeAllowance } from "../queries/computeAllowance.js";

/** Interval at which `check` has to be called. */
export const COLD_CHECK_MS = 400;

export interface ColdGrantingOptions {
    readonly fleet: Pick<FleetView, "countByDomain" | "listCoordinators" | "listLocalDomain">;
    readonly localDomain: FailureDomainId;
    /** Address of this host. */
    readonly address: string;
    /** Whether the settings name other hosts, so that one without a peer does not know its fleet. */
    readonly hasSeeds: boolean;
    /** Lists the failure domains whose permits this host grants. */
    readonly listGrantedDomains: () => ReadonlySet<FailureDomainId>;
}

/** A rate of a cold endpoint that all hosts share. */
export type ColdNeed = Pick<ShareOptions, "endpointId" | "requestsPerSecond">;

export interface ColdGranting {
    /** Records what this host sees of the fleet; called every `COLD_CHECK_MS`. */
    readonly check: () => void;
    /** Returns what this host grants of a rate as the one that does so for a failure domain; `undefined` for nothing. */
    readonly getAllowance: (domain: FailureDomainId, requestsPerSecond: number) => Allowance | undefined;
    /** Returns whether this host may send by its own shares of all rates now, without a permit; true for no rates. */
    readonly canTakeShares: (needs: readonly ColdNeed[]) => boolean;
    /** Records that it does. */
    readonly takeShares: (needs: readonly ColdNeed[]) => void;
}

export function createColdGranting(options: ColdGrantingOptions): ColdGranting {
    const { fleet, localDomain, address, hasSeeds, listGrantedDomains } = options;
    const memory = createFleetMemory(address);
    const tenure = createGranterTenure();
    const slots = createShareSlots();
    let visibleHosts = 1;

    /** A host that has seen no peer yet does not know how many there are. */
    const knowsFleet = (): boolean => memory.hasSeenPeer() || !hasSeeds;
    const recordFleet = (): void => {
        // The announced number of hosts of another domain stays for some seconds after its coordinators have gone.
        const counts = Object.fromEntries(
            Object.entries(fleet.countByDomain()).map(([domain, count]) => [
                domain,
                domain === localDomain || fleet.listCoordinators(domain as FailureDomainId).length > 0 ? count : 0,
            ]),
        );
        visibleHosts = Object.values(counts).reduce((sum, count) => sum + count, 0);
        memory.record({ counts, localDomain, localHosts: fleet.listLocalDomain() }, performance.now());
    };
    return {
        check: () => {
            recordFleet();
            tenure.check(listGrantedDomains(), readClocks());
        },
        getAllowance: (domain, requestsPerSecond) =>
            computeAllowance(requestsPerSecond, {
                isEstablished: knowsFleet() && tenure.isEstablished(domain, readClocks()),
                visibleHosts,
                knownHosts: memory.countHosts(),
            }),
        canTakeShares: needs => {
            const now = readClocks();
            const hosts = memory.countHosts();
            const rank = memory.getRank();
            return needs.every(need => knowsFleet() && slots.canTake({ ...need, hosts, rank }, now));
        },
        takeShares: needs => needs.forEach(({ endpointId }) => slots.take(endpointId, readClocks())),
    };
}
