import { decideLease, type HeldLease, type LeaseRow, LEASES_TABLE } from "@currantrill/core";
import type { EndpointId, TableRow } from "@currantrill/protocol";
import { isStoreAnswerLost } from "@currantrill/store";
import { readClocks } from "../../configuration/model/configurationHolder.js";
import { createAttemptId, type HostContext } from "../../model/hostContext.js";
import type { PlacementState } from "../model/placementState.js";

const formatLeaseKey = (endpoint: EndpointId): string => `endpoint/${endpoint}`;

/**
 * Takes the lease on an endpoint's orders; `undefined` while another host may hold it. Leases are taken when there is an
 * order to send and are not renewed: renewing 780 of them would take 52 writes per second of the table service.
 */
export async function takeLease(
    context: HostContext,
    state: PlacementState,
    endpoint: EndpointId,
): Promise<HeldLease | undefined> {
    const row = await readLease(context, endpoint);
    const lease = row === undefined ? undefined : { version: row.version, lease: row.value as unknown as LeaseRow };
    const decision = decideLease(lease, context.incarnation, state.observed.get(endpoint), readClocks());
    if (decision.action === "wait") {
        state.observed.set(endpoint, decision.observed);
        return undefined;
    }
    const takenAt = readClocks();
    const { token, version } = decision;
    const isTaken = await writeLease(context, endpoint, version, {
        holder: context.fleet.self,
        incarnation: context.incarnation,
        token,
    });
    return isTaken ? { token, version: version + 1, takenAt } : undefined;
}

function readLease(context: HostContext, endpoint: EndpointId): Promise<TableRow | undefined> {
    context.metrics.platformRequests.inc({ use: "leases", operation: "read" });
    return context.tables.readRow(LEASES_TABLE, formatLeaseKey(endpoint));
}

/** Writes the row. After a lost answer the row is read back, and the lease is taken if the row names it. */
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
