/** Memory reserved at the endpoints that hold parts of a prompt: all of them or none. */
import { requestEndpoint } from "../../endpoints/commands/requestEndpoint.js";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { EndpointCall } from "../../ports/endpointProtocol.js";

/** Orders are answered within milliseconds; one that is not may be carried out seconds later. */
const ORDER_TIMEOUT_MS = 400;
/** Part of the longest time that memory may stay reserved without use, for which a reservation is held. */
const HOLD_SHARE = 0.85;
/** Part of the hold time after which it is renewed; two renewals may fail before it ends. */
const RENEW_SHARE = 0.3;
/** After an order without an answer, the release is repeated while the order may still be carried out. */
const LATE_RELEASE_MS = [1_000, 3_000, 5_000, 7_000, 9_000, 11_000, 13_000];

export interface PartNeed {
    readonly endpoint: Endpoint;
    readonly tokens: number;
}

export interface HeldReservation {
    readonly endpoint: Endpoint;
    readonly id: string;
}

export interface HeldParts {
    readonly reservations: readonly HeldReservation[];
    /** Ends the reservations. Call it once the request has ended, whatever became of it. */
    readonly release: () => void;
}

type OrderResult = "held" | "refused" | "unanswered";

/** Reserves memory for all parts, or releases what was granted and resolves with `undefined`. */
export async function reserveParts(
    context: ForwardingContext,
    needs: readonly PartNeed[],
): Promise<HeldParts | undefined> {
    const holdMs = Math.floor(context.settings.reservations.free_ms * HOLD_SHARE);
    const reservations = needs.map(need => ({ ...need, id: context.createReservationId() }));
    const doubtful = new Set<string>();
    const order = async (reservation: PartNeed & HeldReservation): Promise<OrderResult> => {
        const { id, tokens, endpoint } = reservation;
        const result = await sendOrder(context, endpoint, context.protocol.buildReservation({ id, tokens, holdMs }));
        if (result === "unanswered") {
            doubtful.add(id);
        }
        return result;
    };
    const results = await Promise.all(reservations.map(order));
    const renewals = setInterval(() => reservations.forEach(each => void order(each)), holdMs * RENEW_SHARE);
    let isReleased = false;
    const release = (): void => {
        if (isReleased) {
            return;
        }
        isReleased = true;
        clearInterval(renewals);
        reservations.forEach(each => void releaseReservation(context, each, doubtful.has(each.id)));
    };
    if (results.every(result => result === "held")) {
        context.metrics.reservations.inc({ outcome: "held" }, reservations.length);
        return { reservations, release };
    }
    context.log.info(
        { endpoints: reservations.map(each => each.endpoint.entry.id), results },
        "reservations: not all granted, released",
    );
    context.metrics.reservations.inc({ outcome: "refused" }, reservations.length);
    release();
    return undefined;
}

async function releaseReservation(
    context: ForwardingContext,
    reservation: HeldReservation,
    isDoubtful: boolean,
): Promise<void> {
    const call = context.protocol.buildRelease(reservation.id);
    const result = await sendOrder(context, reservation.endpoint, call);
    if (result !== "unanswered" && !isDoubtful) {
        return;
    }
    for (const afterMs of LATE_RELEASE_MS) {
        setTimeout(() => void sendOrder(context, reservation.endpoint, call), afterMs).unref();
    }
}

async function sendOrder(context: ForwardingContext, endpoint: Endpoint, call: EndpointCall): Promise<OrderResult> {
    try {
        const reply = await requestEndpoint(endpoint.pool, call, ORDER_TIMEOUT_MS);
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
            "reservations: order without an answer, it may still be carried out",
        );
        return "unanswered";
    }
}
