/** Encoding of peer states. Bookings are rows, and their times are ages, since hosts share no clock. */
import { toFailureDomainId } from "@currantrill/protocol";
import { Packr } from "msgpackr";
import type { EndpointSighting } from "../../endpoints/model/endpointSighting.js";
import type { Booking } from "../../placement/model/booking.js";
import type { PeerState } from "../model/peerState.js";

const packr = new Packr({ useRecords: false });
/** Raised with each change of the layout; messages of another layout are ignored. */
const LAYOUT = 2;

type BookingRow = readonly [
    id: number,
    endpointId: string,
    memoryTokens: number,
    readTokens: number,
    parts: number,
    readMs: number,
    targetMs: number,
    targetPauseMs: number,
    isPart: boolean,
    startedAgeMs: number,
    readAgeMs: number | null,
];

type SightingRow = readonly [endpointId: string, isSilent: boolean, failures: number, pace: number | null];

const FIELDS = 11;
/** Sent numbers are rounded to this part of one. */
const SHARES = 100;

/** Encodes a state at a time of the sender's steady clock. */
export function encodePeerState(state: PeerState, nowMs: number): Buffer {
    const bookings = state.bookings.map((booking): BookingRow => [
        booking.id,
        booking.endpointId,
        booking.memoryTokens,
        booking.readTokens,
        booking.parts,
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
        state.failureDomain,
        state.incarnation,
        state.sequence,
        state.isLeaving,
        state.hasLostStore,
        state.changedAt,
        state.hosts,
        state.sightings.map(encodeSighting),
        bookings,
    ]);
}

const encodeSighting = ({ endpointId, isSilent, failures, pace }: EndpointSighting): SightingRow => [
    endpointId,
    isSilent,
    Math.round(failures * SHARES) / SHARES,
    pace === undefined ? null : Math.round(pace * SHARES) / SHARES,
];

/** Decodes a state, with times of the receiver's steady clock. `undefined` if the message is none. */
export function decodePeerState(data: Buffer, nowMs: number): PeerState | undefined {
    const fields = decodeArray(data);
    if (fields?.[0] !== LAYOUT || fields.length !== FIELDS) {
        return undefined;
    }
    const [, address, domain, incarnation, sequence, isLeaving, hasLostStore, changedAt, hosts, sightings, rows] =
        fields as [
            number,
            string,
            string,
            number,
            number,
            boolean,
            boolean,
            Record<string, number>,
            string[],
            SightingRow[],
            BookingRow[],
        ];
    return {
        address,
        failureDomain: toFailureDomainId(domain),
        incarnation,
        sequence,
        isLeaving,
        hasLostStore,
        changedAt,
        hosts,
        sightings: sightings.map(([endpointId, isSilent, failures, pace]): EndpointSighting => ({
            endpointId,
            isSilent,
            failures,
            ...(pace === null ? {} : { pace }),
        })),
        bookings: rows.map(decodeBooking(nowMs)),
    };
}

const decodeBooking = (nowMs: number) => (row: BookingRow): Booking => {
    const [
        id,
        endpointId,
        memoryTokens,
        readTokens,
        parts,
        readMs,
        targetMs,
        targetPauseMs,
        isPart,
        startedAge,
        readAge,
    ] = row;
    return {
        id,
        endpointId,
        memoryTokens,
        readTokens,
        parts,
        readMs,
        targetMs,
        targetPauseMs,
        isPart,
        startedAtMs: nowMs - startedAge,
        ...(readAge === null ? {} : { readAtMs: nowMs - readAge }),
    };
};

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
