import { toRequestId, toWorkspaceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    decideAdmission,
    emptyRequestQueue,
    fullRetryBudget,
    pushRequest,
    type QueuedRequest,
    type RequestQueue,
    spendRetry,
    takeExpired,
    takeRequest,
} from "../../src/index.js";

const createEntry = (request: string, changes: Partial<QueuedRequest> = {}): QueuedRequest => ({
    request: toRequestId(request),
    workspace: toWorkspaceId("desk"),
    lengthClass: "short",
    priority: "standard",
    weight: 1,
    tokens: 1_000,
    enqueuedAtMs: 0,
    deadlineMs: 30_000,
    notBeforeMs: 0,
    ...changes,
});
const fill = (entries: readonly QueuedRequest[]): RequestQueue => entries.reduce(pushRequest, emptyRequestQueue);

function takeAll(queue: RequestQueue, now: number): string[] {
    const { queue: rest, entry } = takeRequest(queue, now, () => true);
    return entry === undefined ? [] : [entry.request, ...takeAll(rest, now)];
}

describe("takeRequest guards against starvation and unfair shares of workspaces", () => {
    const cases = [
        {
            name: "short before huge",
            entries: [createEntry("huge", { lengthClass: "huge" }), createEntry("short", { enqueuedAtMs: 1 })],
            now: 10,
            expected: ["short", "huge"],
        },
        {
            name: "an aged huge prompt before a new short one",
            entries: [
                createEntry("huge", { lengthClass: "huge" }),
                createEntry("short", { enqueuedAtMs: 20_000 }),
            ],
            now: 20_000,
            expected: ["huge", "short"],
        },
        {
            name: "interactive before batch",
            entries: [createEntry("batch", { priority: "batch" }), createEntry("now", { priority: "interactive" })],
            now: 10,
            expected: ["now", "batch"],
        },
        {
            name: "workspaces by weight",
            entries: [
                ...["a1", "a2", "a3"].map(name => createEntry(name, { workspace: toWorkspaceId("a") })),
                ...["b1", "b2", "b3"].map(name => createEntry(name, { workspace: toWorkspaceId("b"), weight: 2 })),
            ],
            now: 10,
            expected: ["a1", "b1", "b2", "a2", "b3", "a3"],
        },
        {
            name: "no request before the end of its backoff",
            entries: [createEntry("later", { notBeforeMs: 100 })],
            now: 10,
            expected: [],
        },
    ];
    it.each(cases)("$name", ({ entries, now, expected }) => {
        expect(takeAll(fill(entries), now)).toEqual(expected);
    });

    it("takeExpired takes requests that cannot be answered before their deadline", () => {
        const queue = fill([createEntry("late", { deadlineMs: 1_000 }), createEntry("fine")]);
        const { expired, queue: rest } = takeExpired(queue, 600, () => 500);
        expect(expired.map(entry => entry.request)).toEqual(["late"]);
        expect(rest.pendingRequests.map(entry => entry.request)).toEqual(["fine"]);
    });
});

it("decideAdmission refuses a request whose answer would come after its deadline", () => {
    const estimate = { expectedFirstTokenMs: 1_000, maxTokens: 100, decodeTokensPerSecond: 50 };
    expect(decideAdmission({ ...estimate, deadlineMs: 10_000 }, 0).kind).toBe("admit");
    expect(decideAdmission({ ...estimate, deadlineMs: 4_000 }, 0)).toMatchObject({
        kind: "refuse",
        retryAfterMs: 1_000,
    });
});

it("spendRetry allows no retry when the budget is used up", () => {
    let budget = fullRetryBudget;
    let spent = 0;
    for (let result = spendRetry(budget); result.allowed; result = spendRetry(budget)) {
        budget = result.budget;
        spent += 1;
    }
    expect(spent).toBe(fullRetryBudget.tokens);
});
