import { describe, expect, it } from "vitest";
import { findFreePorts } from "../../src/index.js";

describe("findFreePorts", () => {
    it("guards against two systems that start at the same time with the same ports", async () => {
        const found = await Promise.all(Array.from({ length: 20 }, () => findFreePorts(50)));
        const ports = found.flat();
        expect(new Set(ports).size).toBe(ports.length);
    });
});
