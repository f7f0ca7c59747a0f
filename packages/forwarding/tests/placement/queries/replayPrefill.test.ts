import { describe, expect, it } from "vitest";
import type { Assignment } from "../../../src/placement/model/assignment.js";
import { estimateBacklogMs, replayPrefill } from "../../../src/placement/queries/replayPrefill.js";
import { createAssignment, createLoad } from "../../engineFixture.js";

interface Case {
    readonly name: string;
    readonly active: readonly Assignment[];
    readonly nowMs: number;
    /** Id and remaining time of each pending prefill, in the order of processing. */
    readonly expected: readonly (readonly [number, number])[];
}

const createShard = (changes: Partial<Assignment>): Assignment =>
    createAssignment({ promptShards: 2, isDecodedElsewhere: true, ...changes });

describe("replayPrefill", () => {
    const cases: readonly Case[] = [
        { name: "finds nothing on an idle endpoint", active: [], nowMs: 0, expected: [] },
        {
            name: "prefills whole prompts one after the other",
            active: [createAssignment({ prefillMs: 100 }), createAssignment({ id: 2, prefillMs: 50, startedAtMs: 10 })],
            nowMs: 20,
            expected: [[1, 80], [2, 50]],
        },
        {
            // Guards against short prompts on an endpoint with a pending prefill that a completed shard had delayed.
            name: "adds the work of a completed shard that went ahead of a whole prompt",
            active: [
                createAssignment({ prefillMs: 1_000 }),
                createShard({ id: 2, prefillMs: 500, startedAtMs: 100, prefilledAtMs: 700 }),
            ],
            nowMs: 1_100,
            expected: [[1, 400]],
        },
        {
            // Guards against prompts on an endpoint with a pending long shard, because a shorter shard there is
            // complete.
            name: "keeps a pending shard after a later one is complete",
            active: [
                createShard({ prefillMs: 2_000 }),
                createShard({ id: 2, prefillMs: 500, startedAtMs: 500, prefilledAtMs: 1_100 }),
            ],
            nowMs: 1_500,
            expected: [[1, 1_000]],
        },
        {
            // Guards against shards that are placed on an endpoint with a pending shard, and delay it by all their
            // time.
            name: "prefills the latest shard first",
            active: [
                createShard({ prefillMs: 1_000 }),
                createShard({ id: 2, prefillMs: 500, startedAtMs: 400 }),
                createAssignment({ id: 3, prefillMs: 50, startedAtMs: 200 }),
            ],
            nowMs: 600,
            expected: [[2, 300], [1, 600], [3, 50]],
        },
        {
            name: "prefills the primary endpoint's shard of a prompt like the others",
            active: [
                createAssignment({ prefillMs: 100 }),
                createAssignment({ id: 2, prefillMs: 50, promptShards: 2, startedAtMs: 10 }),
            ],
            nowMs: 10,
            expected: [[2, 50], [1, 90]],
        },
        {
            name: "drops a prompt whose prefill was complete sooner than expected",
            active: [
                createAssignment({ prefillMs: 1_000, prefilledAtMs: 400 }),
                createAssignment({ id: 2, prefillMs: 100, startedAtMs: 50 }),
            ],
            nowMs: 400,
            expected: [[2, 100]],
        },
        {
            name: "assumes remaining time for a whole prompt that is overdue, and none for a shard",
            active: [createAssignment({ prefillMs: 1_000 }), createShard({ id: 2, prefillMs: 100 })],
            nowMs: 2_000,
            expected: [[1, 200]],
        },
    ];
    it.each(cases)("$name", ({ active, nowMs, expected }) => {
        const pending = replayPrefill(createLoad("1", { assignments: active }), nowMs);
        expect(pending.map(({ assignment, remainingMs }) => [assignment.id, remainingMs])).toEqual(expected);
    });
    it("takes longer on a slow endpoint", () => {
        const load = createLoad("1", { slowdown: 2, assignments: [createAssignment({ prefillMs: 100 })] });
        expect(estimateBacklogMs(replayPrefill(load, 0))).toBe(200);
    });
});
