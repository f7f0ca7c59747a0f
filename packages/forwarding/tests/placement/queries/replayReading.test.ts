import { describe, expect, it } from "vitest";
import type { Booking } from "../../../src/placement/model/booking.js";
import { estimateBacklogMs, replayReading } from "../../../src/placement/queries/replayReading.js";
import { createBooking, createLoad } from "../../engineFixture.js";

interface Case {
    readonly name: string;
    readonly bookings: readonly Booking[];
    readonly nowMs: number;
    /** Id and time that is left, in the order of reading. */
    readonly expected: readonly (readonly [number, number])[];
}

const createPart = (changes: Partial<Booking>): Booking => createBooking({ parts: 2, isPart: true, ...changes });

describe("replayReading", () => {
    const cases: readonly Case[] = [
        { name: "finds nothing on an idle endpoint", bookings: [], nowMs: 0, expected: [] },
        {
            name: "reads whole prompts one after the other",
            bookings: [createBooking({ readMs: 100 }), createBooking({ id: 2, readMs: 50, startedAtMs: 10 })],
            nowMs: 20,
            expected: [[1, 80], [2, 50]],
        },
        {
            // Guards against short prompts on an endpoint that still reads, because a part there has been read meanwhile.
            name: "adds the work of a part that has been read before a whole prompt",
            bookings: [
                createBooking({ readMs: 1_000 }),
                createPart({ id: 2, readMs: 500, startedAtMs: 100, readAtMs: 700 }),
            ],
            nowMs: 1_100,
            expected: [[1, 400]],
        },
        {
            // Guards against prompts on an endpoint that reads a long part, because a shorter part there has been read.
            name: "keeps a part that is still being read after a later one has been read",
            bookings: [
                createPart({ readMs: 2_000 }),
                createPart({ id: 2, readMs: 500, startedAtMs: 500, readAtMs: 1_100 }),
            ],
            nowMs: 1_500,
            expected: [[1, 1_000]],
        },
        {
            // Guards against parts that are placed on one that is being read, and delay it by all their time.
            name: "reads the latest part first",
            bookings: [
                createPart({ readMs: 1_000 }),
                createPart({ id: 2, readMs: 500, startedAtMs: 400 }),
                createBooking({ id: 3, readMs: 50, startedAtMs: 200 }),
            ],
            nowMs: 600,
            expected: [[2, 300], [1, 600], [3, 50]],
        },
        {
            name: "reads the first endpoint's own part of a prompt like the others",
            bookings: [createBooking({ readMs: 100 }), createBooking({ id: 2, readMs: 50, parts: 2, startedAtMs: 10 })],
            nowMs: 10,
            expected: [[2, 50], [1, 90]],
        },
        {
            name: "drops a prompt that was read sooner than expected",
            bookings: [
                createBooking({ readMs: 1_000, readAtMs: 400 }),
                createBooking({ id: 2, readMs: 100, startedAtMs: 50 }),
            ],
            nowMs: 400,
            expected: [[2, 100]],
        },
        {
            name: "assumes a rest of a whole prompt that is overdue, and none of a part",
            bookings: [createBooking({ readMs: 1_000 }), createPart({ id: 2, readMs: 100 })],
            nowMs: 2_000,
            expected: [[1, 200]],
        },
    ];
    it.each(cases)("$name", ({ bookings, nowMs, expected }) => {
        const unread = replayReading(createLoad("1", { bookings }), nowMs);
        expect(unread.map(({ booking, leftMs }) => [booking.id, leftMs])).toEqual(expected);
    });
    it("reads more slowly on a slow endpoint", () => {
        const load = createLoad("1", { pace: 2, bookings: [createBooking({ readMs: 100 })] });
        expect(estimateBacklogMs(replayReading(load, 0))).toBe(200);
    });
});
