import { describe, expect, it } from "vitest";
import { computeConnectionLimits } from "../../src/queries/computeConnectionLimits.js";

describe("computeConnectionLimits", () => {
    // Guards against a host that cannot start, or a server that accepts nobody, because the platform allows few descriptors,
    // and against limits that together take more descriptors than there are.
    it.each([
        { fileDescriptors: 1, callers: 8, readiness: 8, metrics: 8, peers: 8 },
        { fileDescriptors: 256, callers: 94, readiness: 8, metrics: 8, peers: 10 },
        { fileDescriptors: 4_200, callers: 1_554, readiness: 84, metrics: 84, peers: 168 },
    ])("divides $fileDescriptors descriptors", ({ fileDescriptors, ...limits }) => {
        expect(computeConnectionLimits(fileDescriptors)).toEqual(limits);
        const { callers, readiness, metrics, peers } = limits;
        const needed = 2 * callers + readiness + metrics + peers;
        expect(fileDescriptors < 100 || needed < fileDescriptors).toBe(true);
    });
});
