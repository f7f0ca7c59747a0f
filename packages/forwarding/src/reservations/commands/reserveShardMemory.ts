/** Reserves memory at all endpoints that take shards of a prompt, or at none of them. */
import { readClocks } from "@currantrill/protocol";
import { requestEndpoint } from "../../endpoints/commands/requestEndpoint.js";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { EndpointCall } from "../../ports/endpointProtocol.js";
import { recordNotice } from "../../warmup/commands/recordNotice.js";

/** Endpoints reply to orders within milliseconds. An order without a reply may still be carried out seconds later. */
const ORDER_TIMEOUT_MS = 400;
/** Hold time of a reservation as a fraction of the configured limit on unused reservations (`free_ms`). */
const HOLD_FRACTION = 0.85;
/** Renewal interval as a fraction of the hold time, so that two renewals may fail before the reservation expires. */
const RENEW_FRACTION = 0.3;
/** Delays of the repeated releases after an order without a reply, while that order may still be carried out. */
const RELEASE_RETRY_DELAYS_MS = [1_000, 3_000, 5_000, 7_000, 9_000, 11_000, 13_000];

/** Memory that one shard needs at an endpoint, in tokens. */
export interface ShardNeed {
    readonly endpoint: Endpoint;
    readonly tokens: number;
}

export interface HeldReservation {
    readonly endpoint: Endpoint;
    readonly id: string;
}

/** Reservations of all shards of one request. They are renewed until `release` is called. */
export interface ShardReservations {
    readonly reservations: readonly HeldReservation[];
    /** Stops the renewals and releases the memory. Must be called when the request has ended, whatever its outcome. */
    readonly release: () => void;
}

type OrderResult = "held" | "refused" | "unanswered";

/**
 * Reserves memory for all shards. If an endpoint refuses or does not reply, releases what was granted and resolves with
 * `undefined`.
 */
export async function reserveShardMemory(
    context: ForwardingContext,
    needs: readonly ShardNeed[],
): Promise<ShardReservations | undefined> {
    const holdMs = Math.floor(context.settings.reservations.free_ms * HOLD_FRACTION);
    const reservations = needs.map(need => ({ ...need, id: context.createReservationId() }));
    const unconfirmedIds = new Set<string>();
    const sendReservation = async (reservation: ShardNeed & HeldReservation): Promise<OrderResult> => {
        const { id, tokens, endpoint } = reservation;
        const result = await sendOrder(context, endpoint, context.protocol.buildReservation({ id, tokens, holdMs }));
        if (result === "unanswered") {
            unconfirmedIds.add(id);
        }
        return result;
    };
    const results = await Promise.all(reservations.map(sendReservation));
    const renewals = setInterval(
        () => reservations.forEach(each => void sendReservation(each)),
        holdMs * RENEW_FRACTION,
    );
    let isReleased = false;
    const release = (): void => {
        if (isReleased) {
            return;
        }
        isReleased = true;
        clearInterval(renewals);
        reservations.forEach(each => void releaseReservation(context, each, unconfirmedIds.has(each.id)));
    };
    if (results.every(result => result === "held")) {
        context.metrics.reservations.inc({ outcome: "held" }, reservations.length);
        return { reservations, release };
    }
    context.log.info(
        { endpoints: reservations.map(each => each.endpoint.entry.id), results },
        "reservations: not all granted, releasing them",
    );
    context.metrics.reservations.inc({ outcome: "refused" }, reservations.length);
    release();
    return undefined;
}

async function releaseReservation(
    context: ForwardingContext,
    reservation: HeldReservation,
    isUnconfirmed: boolean,
): Promise<void> {
    const call = context.protocol.buildRelease(reservation.id);
    const result = await sendOrder(context, reservation.endpoint, call);
    if (result !== "unanswered" && !isUnconfirmed) {
        return;
    }
    for (const delayMs of RELEASE_RETRY_DELAYS_MS) {
        setTimeout(() => void sendOrder(context, reservation.endpoint, call), delayMs).unref();
    }
}

async function sendOrder(context: ForwardingContext, endpoint: Endpoint, call: EndpointCall): Promise<OrderResult> {
    try {
        const reply = await requestEndpoint(endpoint.pool, call, {
            timeoutMs: ORDER_TIMEOUT_MS,
            protocol: context.protocol,
            // On a reused connection, a late copy of the reply to an earlier order could be taken for a grant.
            usesNewConnection: true,
            onNotice: notice => recordNotice(endpoint, notice, "order", readClocks()),
        });
        if (reply.status === 200) {
            return "held";
        }
        context.log.info(
            { endpoint: endpoint.entry.id, order: call.body, status: reply.status },
            "reservations: order refused",
        );
        return "refused";
    }
    catch (error) {
        context.log.warn(
            { endpoint: endpoint.entry.id, order: call.body, err: error },
            "reservations: no reply to order, it may still be carried out",
        );
        return "unanswered";
    }
}
