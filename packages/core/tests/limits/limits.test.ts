import { toWorkspaceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    admitWorkspaceRequest,
    choosePublishedDemand,
    computeHostLimits,
    createTokenBucket,
    endWorkspaceRequest,
    initialWorkspaceUse,
    measureWorkspaceDemand,
    recordRetry,
    recordWorkspaceDemand,
    roundDemand,
    spendTokens,
    type WorkspaceDemand,
    type WorkspaceObject,
} from "../../src/index.js";

const workspace: WorkspaceObject = {
    kind: "workspace",
    name: toWorkspaceId("desk"),
    keySha256: "",
    tokensPerSecond: 100,
    burstTokens: 1_000,
    maxConcurrent: 4,
    weight: 1,
};
const limits = computeHostLimits(workspace, 0.5);

describe("spendTokens guards against spending more tokens than the bucket allows", () => {
    const bucket = createTokenBucket({ capacity: 100, tokensPerSecond: 10 }, 0);
    const empty = { ...bucket, level: 0 };
    it.each([
        { name: "full bucket", bucket, tokens: 100, now: 0, expected: { allowed: true, level: 0 } },
        { name: "larger than the bucket", bucket, tokens: 250, now: 0, expected: { allowed: true, level: -150 } },
        { name: "empty bucket", bucket: empty, tokens: 50, now: 0, expected: { allowed: false, retryAfterMs: 5_000 } },
        { name: "refilled", bucket: empty, tokens: 50, now: 5_000, expected: { allowed: true, level: 0 } },
        {
            name: "filled to the capacity only",
            bucket,
            tokens: 50,
            now: 60_000,
            expected: { allowed: true, level: 50 },
        },
        {
            name: "larger than the bucket, not full",
            bucket: { ...bucket, level: 90 },
            tokens: 250,
            now: 0,
            expected: { allowed: false, retryAfterMs: 1_000 },
        },
    ])("$name", ({ bucket: start, tokens, now, expected }) => {
        const result = spendTokens(start, tokens, now);
        const found = result.allowed
            ? { allowed: true, level: result.bucket.level }
            : { allowed: false, retryAfterMs: result.retryAfterMs };
        expect(found).toEqual(expected);
    });
});

describe("admission of a workspace's requests guards against use beyond the host's share", () => {
    it("limits concurrency and releases it at the end of a request", () => {
        const one = admitWorkspaceRequest(initialWorkspaceUse, limits, 1, 0).use;
        const two = admitWorkspaceRequest(one, limits, 1, 0).use;
        expect(admitWorkspaceRequest(two, limits, 1, 0)).toMatchObject({ admitted: false, reason: "concurrency" });
        expect(admitWorkspaceRequest(endWorkspaceRequest(two), limits, 1, 0).admitted).toBe(true);
    });

    it("charges retries to the workspace", () => {
        const { use } = admitWorkspaceRequest(initialWorkspaceUse, limits, 300, 0);
        const charged = recordRetry(use, limits, 300, 0);
        expect(admitWorkspaceRequest(charged, limits, 1, 0)).toMatchObject({ admitted: false, reason: "rate" });
    });

    it("a smaller share takes effect at once", () => {
        const { use } = admitWorkspaceRequest(initialWorkspaceUse, limits, 1, 0);
        expect(
            admitWorkspaceRequest(endWorkspaceRequest(use), computeHostLimits(workspace, 0.1), 100, 0).use.bucket
                ?.level,
        ).toBe(0);
    });
});

describe("workspace demand", () => {
    it("guards against an average that does not decay", () => {
        const meter: WorkspaceDemand = recordWorkspaceDemand(new Map(), workspace.name, 1_000, 0);
        expect(measureWorkspaceDemand(meter, workspace.name, 0)).toBeCloseTo(100);
        expect(measureWorkspaceDemand(meter, workspace.name, 30_000)).toBeLessThan(6);
    });

    it.each([
        { name: "within the equal share", demand: 80, isContended: false, expected: undefined },
        { name: "above the equal share", demand: 150, isContended: false, expected: roundDemand(150) },
        { name: "low under contention", demand: 10, isContended: true, expected: roundDemand(10) },
        { name: "low without contention", demand: 10, isContended: false, expected: undefined },
    ])("choosePublishedDemand guards against needless publication: $name", ({ demand, isContended, expected }) => {
        expect(choosePublishedDemand({ demand, equalShare: 100, isContended })).toBe(expected);
    });
});
