/** What is left to read on an endpoint, from the bookings on it. */
import type { Booking } from "../model/booking.js";
import type { EndpointLoad } from "../model/endpointLoad.js";

/** Part of a prompt's reading time that is assumed to be left while it is known to be unread after its expected end. */
const OVERDUE_SHARE = 0.2;

/** A booking that has not been read. */
export interface Unread {
    readonly booking: Booking;
    /** Reading time that is left for it alone. */
    readonly leftMs: number;
}

/** Whether a prompt, or a part of one, is read by several endpoints. */
const isJoint = (booking: Booking): boolean => booking.parts > 1;

/**
 * Replays the reading on an endpoint, and lists what is left in the order in which it is read: parts ahead of everything
 * that came before them, then whole prompts in the order of their arrival.
 */
export function replayReading(load: EndpointLoad, nowMs: number): readonly Unread[] {
    const bookings = load.bookings.filter(booking => booking.readMs > 0);
    const moments = bookings
        .flatMap((booking): readonly (readonly [number, Booking])[] => [
            [booking.startedAtMs, booking],
            ...(booking.readAtMs === undefined ? [] : [[booking.readAtMs, booking] as const]),
        ])
        .sort(([a], [b]) => a - b);
    let queue: Unread[] = [];
    let atMs = -Infinity;
    for (const [momentMs, booking] of moments) {
        queue = advanceReading(queue, momentMs - atMs);
        atMs = momentMs;
        if (momentMs === booking.readAtMs) {
            queue = queue.filter(unread => unread.booking !== booking);
            continue;
        }
        const added = { booking, leftMs: booking.readMs * load.pace };
        queue = isJoint(booking) ? [added, ...queue] : [...queue, added];
    }
    return addOverdue(advanceReading(queue, nowMs - atMs), bookings);
}

/** Reads for a time. What has been read is dropped, since only its answer tells that it has. */
function advanceReading(queue: readonly Unread[], ms: number): Unread[] {
    let leftMs = ms;
    const rest: Unread[] = [];
    for (const unread of queue) {
        const spentMs = Math.min(leftMs, unread.leftMs);
        leftMs -= spentMs;
        if (unread.leftMs > spentMs) {
            rest.push({ ...unread, leftMs: unread.leftMs - spentMs });
        }
    }
    return rest;
}

/** A whole prompt without an answer after its expected end is still being read; a part may wait for parts elsewhere. */
function addOverdue(left: readonly Unread[], bookings: readonly Booking[]): readonly Unread[] {
    const overdue = bookings
        .filter(booking => booking.readAtMs === undefined && !isJoint(booking))
        .filter(booking => !left.some(unread => unread.booking === booking))
        .map(booking => ({ booking, leftMs: booking.readMs * OVERDUE_SHARE }));
    return [...left, ...overdue];
}

/** Time until all that is on the endpoint has been read. */
export const estimateBacklogMs = (unread: readonly Unread[]): number =>
    unread.reduce((sum, { leftMs }) => sum + leftMs, 0);
