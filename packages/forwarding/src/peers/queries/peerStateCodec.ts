/** Encoding of peer states. Bookings are rows, and their times are ages, since hosts share no clock. */
import { Packr } from "msgpackr";
import type { Booking } from "../../placement/model/booking.js";
import type { PeerState } from "../model/peerState.js";

const packr = new Packr({ useRecords: false });
/** Raised with each change of the layout; messages of another layout are ignored. */
const LAYOUT = 1;

type BookingRow = readonly [
    id: number,
    endpointId: string,
    memoryTokens: number,
    readTokens: number,
    readMs: number,
    targetMs: number,
    targetPauseMs: number,
    isPart: boolean,
    startedAgeMs: number,
    readAgeMs: number | null,
];

/** Encodes a state at a time of the sender's steady clock. */
export function encodePeerState(state: PeerState, nowMs: number): Buffer {
    const bookings = state.bookings.map((booking): BookingRow => [
        booking.id,
        booking.endpointId,
        booking.memoryTokens,
        booking.readTokens,
        Math.round(booking.readMs),
        Math.round(booking.targetMs),
        booking.targetPauseMs,
        booking.isPart,
        Math.round(nowMs - booking.startedAtMs),
        booking.readAtMs === undefined ? null : Math.round(nowMs - booking.readAtMs),
    ]);
    return packr.pack([
        LAYOUT,
        state.address,
        state.incarnation,
        state.sequence,
        state.isLeaving,
        state.changedAt,
        state.hosts,
        bookings,
    ]);
}

/** Decodes a state, with times of the receiver's steady clock. `undefined` if the message is none. */
export function decodePeerState(data: Buffer, nowMs: number): PeerState | undefined {
    const fields = decodeArray(data);
    if (fields?.[0] !== LAYOUT || fields.length !== 8) {
        return undefined;
    }
    const [, address, incarnation, sequence, isLeaving, changedAt, hosts, rows] = fields as [
        number,
        string,
        number,
        number,
        boolean,
        Record<string, number>,
        string[],
        BookingRow[],
    ];
    return {
        address,
        incarnation,
        sequence,
        isLeaving,
        changedAt,
        hosts,
        bookings: rows.map((row): Booking => ({
            id: row[0],
            endpointId: row[1],
            memoryTokens: row[2],
            readTokens: row[3],
            readMs: row[4],
            targetMs: row[5],
            targetPauseMs: row[6],
            isPart: row[7],
            startedAtMs: nowMs - row[8],
            ...(row[9] === null ? {} : { readAtMs: nowMs - row[9] }),
        })),
    };
}

function decodeArray(data: Buffer): readonly unknown[] | undefined {
    try {
        const value: unknown = packr.unpack(data);
        return Array.isArray(value) ? value : undefined;
    }
    catch {
        // A datagram of another program; the caller counts and logs it.
        return undefined;
    }
}
