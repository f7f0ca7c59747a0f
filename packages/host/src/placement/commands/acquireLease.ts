import { decideLease, type HeldLease, type LeaseRow, LEASES_TABLE } from "@currantrill/core";
import { readClocks } from "@currantrill/protocol";
import type { EndpointId, TableRow } from "@currantrill/protocol";
import { isStoreAnswerLost } from "@currantrill/store";
import { createAttemptId, type HostContext } from "../../model/hostContext.js";
import type { PlacementState } from "../model/placementState.js";

const formatLeaseKey = (endpoint: EndpointId): string => `endpoint/${endpoint}`;

/**
 * Acquires the lease that an order to an endpoint needs. Returns `undefined` while another host may hold it, or if the
 * row has changed since it was read. Leases are acquired when there is an order to send and are not renewed, because
 * renewing 780 leases would cost 52 writes per second to the table service. Rejects if the platform cannot be reached.
 */
export async function acquireLease(
    context: HostContext,
    state: PlacementState,
    endpoint: EndpointId,
): Promise<HeldLease | undefined> {
    const row = await readLease(context, endpoint);
    const lease = row === undefined ? undefined : { version: row.version, lease: row.value as unknown as LeaseRow };
    const decision = decideLease(lease, context.incarnation, state.observedLeases.get(endpoint), readClocks());
    if (decision.action === "wait") {
        state.observedLeases.set(endpoint, decision.observed);
        return undefined;
    }
    const takenAt = readClocks();
    const { token, version } = decision;
    const isAcquired = await writeLease(context, endpoint, version, {
        holder: context.fleet.self,
        incarnation: context.incarnation,
        token,
    });
    return isAcquired ? { token, version: version + 1, takenAt } : undefined;
}

function readLease(context: HostContext, endpoint: EndpointId): Promise<TableRow | undefined> {
    context.metrics.platformRequests.inc({ use: "leases", operation: "read" });
    return context.tables.readRow(LEASES_TABLE, formatLeaseKey(endpoint));
}

/**
 * Writes the lease row if it still has the given version. If the response was lost, the row is read back, and the lease
 * counts as acquired if the row contains it.
 */
async function writeLease(
    context: HostContext,
    endpoint: EndpointId,
    version: number,
    lease: LeaseRow,
): Promise<boolean> {
    context.metrics.platformRequests.inc({ use: "leases", operation: "write" });
    const key = formatLeaseKey(endpoint);
    try {
        const result = await context.tables.transact({
            attemptId: createAttemptId(),
            conditions: [{ table: LEASES_TABLE, key, version }],
            writes: [{ table: LEASES_TABLE, key, value: { ...lease } }],
        });
        return result.committed;
    }
    catch (error) {
        if (!isStoreAnswerLost(error)) {
            throw error;
        }
        const written = (await readLease(context, endpoint))?.value as LeaseRow | undefined;
        return written?.incarnation === lease.incarnation && written.token === lease.token;
    }
}
