import type { Assignment } from "./assignment.js";

/** Assignments of a peer from which no message was received for this time are ignored. */
const PEER_TIMEOUT_MS = 3_000;

/** Assignments of this host, and those that its peers have announced. Times are those of the local monotonic clock. */
export interface AssignmentRegistry {
    /** Adds an assignment of this host, and returns it with its id and start time. */
    readonly add: (work: Omit<Assignment, "id" | "startedAtMs">, nowMs: number) => Assignment;
    /** Records that the prefill of an assignment of this host is complete. */
    readonly markPrefilled: (id: number, nowMs: number) => void;
    /** Removes an assignment of this host. */
    readonly remove: (id: number) => void;
    /** Lists the assignments of this host. */
    readonly listLocal: () => readonly Assignment[];
    /** Replaces the assignments of a peer with those that it has announced. */
    readonly setPeer: (peer: string, assignments: readonly Assignment[], nowMs: number) => void;
    readonly removePeer: (peer: string) => void;
    /** Groups all assignments by endpoint, except those of peers that have timed out. */
    readonly groupByEndpoint: (nowMs: number) => ReadonlyMap<string, readonly Assignment[]>;
}

/**
 * `urgent`: an assignment was added, which peers must know of before they place more on the same endpoint. `later`: an
 * assignment has made progress or has ended.
 */
export type AssignmentChange = "urgent" | "later";

/** Creates an empty registry. `onChange` is called when the assignments of this host change. */
export function createAssignmentRegistry(onChange: (change: AssignmentChange) => void): AssignmentRegistry {
    const local = new Map<number, Assignment>();
    const peers = new Map<string, { readonly assignments: readonly Assignment[]; readonly lastHeardAtMs: number; }>();
    let nextId = 1;
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
        setPeer: (peer, assignments, nowMs) => void peers.set(peer, { assignments, lastHeardAtMs: nowMs }),
        removePeer: peer => void peers.delete(peer),
        groupByEndpoint: nowMs => {
            const groups = new Map<string, Assignment[]>();
            const addAll = (assignments: Iterable<Assignment>): void => {
                for (const assignment of assignments) {
                    const group = groups.get(assignment.endpointId);
                    if (group === undefined) {
                        groups.set(assignment.endpointId, [assignment]);
                        continue;
                    }
                    group.push(assignment);
                }
            };
            addAll(local.values());
            for (const peer of peers.values()) {
                if (nowMs - peer.lastHeardAtMs < PEER_TIMEOUT_MS) {
                    addAll(peer.assignments);
                }
            }
            return groups;
        },
    };
}
