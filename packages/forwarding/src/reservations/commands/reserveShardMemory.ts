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

/** `not_sent`: the domain of the endpoint is evacuated, so that nothing was sent. */
type OrderResult = "held" | "refused" | "unanswered" | "not_sent";

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
    /** Reservations that were granted: they are renewed and released also in a domain that is evacuated since. */
    const grantedIds = new Set<string>();
    /** Reservations of which an order may have reached the endpoint. */
    const orderedIds = new Set<string>();
    const sendReservation = async (reservation: ShardNeed & HeldReservation): Promise<OrderResult> => {
        const { id, tokens, endpoint } = reservation;
        const call = context.protocol.buildReservation({ id, tokens, holdMs });
        const result = await sendOrder(
            context,
            endpoint,
            call,
            () => grantedIds.has(id) || mayOrder(context, endpoint),
        );
        if (result === "held") {
            grantedIds.add(id);
        }
        if (result !== "not_sent") {
            orderedIds.add(id);
        }
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
        reservations.filter(each => orderedIds.has(each.id))
            .forEach(each => void releaseReservation(context, each, unconfirmedIds.has(each.id)));
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

/** Returns whether memory may be reserved at an endpoint. */
const mayOrder = ({ evacuations }: ForwardingContext, { entry }: Endpoint): boolean =>
    !evacuations.isEvacuated(entry.failureDomain);

/** Sends an order. `maySend` is checked before the first byte. */
async function sendOrder(
    context: ForwardingContext,
    endpoint: Endpoint,
    call: EndpointCall,
    maySend: () => boolean = () => true,
): Promise<OrderResult> {
    if (!maySend()) {
        return "not_sent";
    }
    const order = { wasSent: false };
    try {
        const reply = await requestEndpoint(endpoint.pool, call, {
            timeoutMs: ORDER_TIMEOUT_MS,
            protocol: context.protocol,
            // On a reused connection, a late copy of the reply to an earlier order could be taken for a grant.
            usesNewConnection: true,
            canSend: () => {
                order.wasSent = maySend();
                return order.wasSent;
            },
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
        if (!order.wasSent && !maySend()) {
            return "not_sent";
        }
        context.log.warn(
            { endpoint: endpoint.entry.id, order: call.body, err: error },
            "reservations: no reply to order, it may still be carried out",
        );
        return "unanswered";
    }
}
