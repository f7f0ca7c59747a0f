import { describe, expect, it } from "vitest";
import { findFreePorts } from "../../src/index.js";

describe("findFreePorts", () => {
    it("reserves each port only once for concurrent searches, as of two systems that start at the same time", async () => {
        const found = await Promise.all(Array.from({ length: 20 }, () => findFreePorts(50)));
        const ports = found.flat();
        expect(new Set(ports).size).toBe(ports.length);
    });
});
