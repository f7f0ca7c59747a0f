/** A host that can coordinate its failure domain. */
export interface CoordinatorCandidate {
    readonly address: string;
    /** Processor capacity in cores. */
    readonly capacity: number;
}

/**
 * Ranks the hosts of a failure domain; the first ones coordinate it. The order only depends on the hosts, so that all
 * hosts that know of the same ones agree without a message. Hosts with more capacity come first, because a coordinator
 * also serves requests of its own.
 */
export const rankCoordinators = (candidates: readonly CoordinatorCandidate[]): readonly string[] =>
    [...candidates]
        .sort((a, b) => b.capacity - a.capacity || (a.address < b.address ? -1 : 1))
        .map(candidate => candidate.address);
