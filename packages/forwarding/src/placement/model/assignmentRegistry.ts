import type { FailureDomainId } from "@currantrill/protocol";
import type { Assignment } from "./assignment.js";

/** Assignments of a peer from which no message was received for this time are ignored. */
const PEER_TIMEOUT_MS = 3_000;
/** Assignments of another failure domain that were received longer ago are ignored. */
const DOMAIN_TIMEOUT_MS = 2_000;
/**
 * Time in which a peer announces the assignments that a coordinator has granted to it. It is several times the time of
 * an answer, a reservation and the announcement.
 */
const GRANT_TIMEOUT_MS = 800;

/** What an assignment is before it has an id and a start. */
export type AssignedWork = Omit<Assignment, "id" | "startedAtMs">;

/** Assignments of this host, and those that its peers have announced. Times are those of the local monotonic clock. */
export interface AssignmentRegistry {
    /** Adds an assignment of this host, and returns it with its id and start time. */
    readonly add: (work: AssignedWork, nowMs: number) => Assignment;
    /** Records that the prefill of an assignment of this host is complete. */
    readonly markPrefilled: (id: number, nowMs: number) => void;
    /** Removes an assignment of this host. */
    readonly remove: (id: number) => void;
    /** Lists the assignments of this host. */
    readonly listLocal: () => readonly Assignment[];
    /**
     * Replaces the assignments of a peer with those that it has announced, and drops what was granted to its queries up
     * to `settledQuery`.
     */
    readonly setPeer: (peer: string, assignments: readonly Assignment[], nowMs: number, settledQuery: number) => void;
    readonly removePeer: (peer: string) => void;
    /** Adds work that this host has granted to a query of a peer, until the peer announces it. */
    readonly grant: (peer: string, query: number, work: readonly AssignedWork[], nowMs: number) => void;
    /** Replaces the assignments of another failure domain with those that its coordinator has announced. */
    readonly setDomain: (domain: FailureDomainId, assignments: readonly Assignment[], nowMs: number) => void;
    /** Groups the assignments that another failure domain has announced, `undefined` if there are no recent ones. */
    readonly groupDomain: (
        domain: FailureDomainId,
        nowMs: number,
    ) => ReadonlyMap<string, readonly Assignment[]> | undefined;
    /** Lists the assignments of this host and of its peers, except those of peers that have timed out. */
    readonly listAll: (nowMs: number) => readonly Assignment[];
    /** Groups the result of `listAll` by endpoint. */
    readonly groupByEndpoint: (nowMs: number) => ReadonlyMap<string, readonly Assignment[]>;
}

/**
 * `urgent`: an assignment was added, which peers must know of before they place more on the same endpoint. `later`: an
 * assignment has made progress or has ended.
 */
export type AssignmentChange = "urgent" | "later";

interface Grant {
    readonly query: number;
    readonly assignments: readonly Assignment[];
    readonly grantedAtMs: number;
}

interface PeerAssignments {
    readonly assignments: readonly Assignment[];
    readonly grants: readonly Grant[];
    readonly lastHeardAtMs: number;
}

interface DomainAssignments {
    readonly groups: ReadonlyMap<string, readonly Assignment[]>;
    readonly receivedAtMs: number;
}

/** Granted assignments have no id until the peer announces them. */
const GRANTED_ID = 0;

/** Creates an empty registry. `onChange` is called when the assignments of this host change. */
export function createAssignmentRegistry(onChange: (change: AssignmentChange) => void): AssignmentRegistry {
    const local = new Map<number, Assignment>();
    const peers = new Map<string, PeerAssignments>();
    const domains = new Map<FailureDomainId, DomainAssignments>();
    let nextId = 1;
    const listAll = (nowMs: number): readonly Assignment[] => [
        ...local.values(),
        ...[...peers.values()].flatMap(({ assignments, grants, lastHeardAtMs }) => [
            ...(nowMs - lastHeardAtMs < PEER_TIMEOUT_MS ? assignments : []),
            ...grants.filter(grant => nowMs - grant.grantedAtMs < GRANT_TIMEOUT_MS).flatMap(grant => grant.assignments),
        ]),
    ];
    return {
        add: (work, nowMs) => {
            const assignment = { ...work, id: nextId, startedAtMs: nowMs };
            nextId += 1;
            local.set(assignment.id, assignment);
            onChange("urgent");
            return assignment;
        },
        markPrefilled: (id, nowMs) => {
            const assignment = local.get(id);
            if (assignment !== undefined && assignment.prefilledAtMs === undefined) {
                local.set(id, { ...assignment, prefilledAtMs: nowMs });
                onChange("later");
            }
        },
        remove: id => {
            if (local.delete(id)) {
                onChange("later");
            }
        },
        listLocal: () => [...local.values()],
        setPeer: (peer, assignments, nowMs, settledQuery) => {
            const grants = (peers.get(peer)?.grants ?? []).filter(grant => grant.query > settledQuery);
            peers.set(peer, { assignments, grants, lastHeardAtMs: nowMs });
        },
        removePeer: peer => void peers.delete(peer),
        grant: (peer, query, work, nowMs) => {
            const known = peers.get(peer) ?? { assignments: [], grants: [], lastHeardAtMs: nowMs };
            const assignments = work.map(each => ({ ...each, id: GRANTED_ID, startedAtMs: nowMs }));
            const valid = known.grants.filter(grant => nowMs - grant.grantedAtMs < GRANT_TIMEOUT_MS);
            peers.set(peer, { ...known, grants: [...valid, { query, assignments, grantedAtMs: nowMs }] });
        },
        setDomain: (domain, assignments, nowMs) =>
            void domains.set(domain, { groups: collectByEndpoint(assignments), receivedAtMs: nowMs }),
        groupDomain: (domain, nowMs) => {
            const known = domains.get(domain);
            return known === undefined || nowMs - known.receivedAtMs >= DOMAIN_TIMEOUT_MS ? undefined : known.groups;
        },
        listAll,
        groupByEndpoint: nowMs => collectByEndpoint(listAll(nowMs)),
    };
}

function collectByEndpoint(assignments: readonly Assignment[]): ReadonlyMap<string, readonly Assignment[]> {
    const groups = new Map<string, Assignment[]>();
    for (const assignment of assignments) {
        const group = groups.get(assignment.endpointId);
        if (group === undefined) {
            groups.set(assignment.endpointId, [assignment]);
            continue;
        }
        group.push(assignment);
    }
    return groups;
}
