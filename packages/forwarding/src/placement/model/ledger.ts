/** Bookings of this host and, as far as they are told, of its peers. */
import type { Booking } from "./booking.js";

/** Bookings of a peer that is not heard any more are dropped after this time. */
const PEER_BOOKINGS_MS = 3_000;

export interface Ledger {
    /** Adds work of this host, and returns its booking. */
    readonly add: (work: Omit<Booking, "id" | "startedAtMs">, nowMs: number) => Booking;
    /** Notes that the prompt of a booking has been read. */
    readonly markRead: (id: number, nowMs: number) => void;
    readonly remove: (id: number) => void;
    readonly listOwn: () => readonly Booking[];
    /** Replaces what a peer has told. */
    readonly setPeer: (peer: string, bookings: readonly Booking[], nowMs: number) => void;
    readonly dropPeer: (peer: string) => void;
    /** All bookings by endpoint. */
    readonly groupByEndpoint: (nowMs: number) => ReadonlyMap<string, readonly Booking[]>;
}

/** `urgent`: work was added, which peers must not place other work on. `later`: work has proceeded or ended. */
export type LedgerChange = "urgent" | "later";

/** Creates an empty ledger. `onChange` is called when the own bookings change. */
export function createLedger(onChange: (change: LedgerChange) => void): Ledger {
    const own = new Map<number, Booking>();
    const peers = new Map<string, { readonly bookings: readonly Booking[]; readonly heardAtMs: number; }>();
    let nextId = 1;
    return {
        add: (work, nowMs) => {
            const booking = { ...work, id: nextId, startedAtMs: nowMs };
            nextId += 1;
            own.set(booking.id, booking);
            onChange("urgent");
            return booking;
        },
        markRead: (id, nowMs) => {
            const booking = own.get(id);
            if (booking !== undefined && booking.readAtMs === undefined) {
                own.set(id, { ...booking, readAtMs: nowMs });
                onChange("later");
            }
        },
        remove: id => {
            if (own.delete(id)) {
                onChange("later");
            }
        },
        listOwn: () => [...own.values()],
        setPeer: (peer, bookings, nowMs) => void peers.set(peer, { bookings, heardAtMs: nowMs }),
        dropPeer: peer => void peers.delete(peer),
        groupByEndpoint: nowMs => {
            const groups = new Map<string, Booking[]>();
            const addAll = (bookings: Iterable<Booking>): void => {
                for (const booking of bookings) {
                    const group = groups.get(booking.endpointId);
                    if (group === undefined) {
                        groups.set(booking.endpointId, [booking]);
                        continue;
                    }
                    group.push(booking);
                }
            };
            addAll(own.values());
            for (const peer of peers.values()) {
                if (nowMs - peer.heardAtMs < PEER_BOOKINGS_MS) {
                    addAll(peer.bookings);
                }
            }
            return groups;
        },
    };
}
