/** What the sweeper asks of membership. */
import type { AttemptId, EndpointId, IncarnationId } from "@currantrill/protocol";

export interface OwnerDirectory {
    /** Endpoints whose orphans this host sweeps. */
    listWatchedEndpoints(): readonly EndpointId[];
    /** Incarnations of the hosts in membership, the own one included. */
    listIncarnations(): ReadonlySet<IncarnationId>;
    /** Names the attempts that their owner still runs; `undefined` if it does not answer. */
    askOwner(incarnation: IncarnationId, attempts: readonly AttemptId[]): Promise<readonly AttemptId[] | undefined>;
}
