/** Access of the orphan sweeper to the membership. */
import type { AttemptId, EndpointId, IncarnationId } from "@currantrill/protocol";

/** Finds the owners of allocations: the host incarnations that requested them. */
export interface OwnerDirectory {
    /** Lists the endpoints whose orphaned allocations this host releases: those that it monitors. */
    listSweptEndpoints(): readonly EndpointId[];
    /** Lists the incarnations of the hosts in membership, this host's included. */
    listIncarnations(): ReadonlySet<IncarnationId>;
    /**
     * Queries an owner for which of the attempts it still runs. Resolves with `undefined` if it is unknown or does not
     * answer.
     */
    queryOwner(incarnation: IncarnationId, attempts: readonly AttemptId[]): Promise<readonly AttemptId[] | undefined>;
}
