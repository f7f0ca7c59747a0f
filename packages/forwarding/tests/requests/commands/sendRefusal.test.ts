import type { ServerResponse } from "node:http";
import { describe, expect, it } from "vitest";
import { sendRefusal } from "../../../src/requests/commands/sendRefusal.js";

function readRetryAfter(): number {
    let value = NaN;
    const response = {
        headersSent: false,
        writeHead: (_status: number, headers: Record<string, string>) => {
            value = Number(headers["retry-after"]);
        },
        end: () => undefined,
    };
    sendRefusal(response as unknown as ServerResponse, "no_endpoint");
    return value;
}

describe("sendRefusal", () => {
    // Guards against callers that were refused together, for example after a loss of power, and all come back together.
    it("spreads the suggested waits of callers", () => {
        const waits = Array.from({ length: 200 }, readRetryAfter);
        expect(Math.min(...waits)).toBeGreaterThanOrEqual(0.4);
        expect(Math.max(...waits)).toBeLessThanOrEqual(0.64);
        expect(Math.max(...waits) - Math.min(...waits)).toBeGreaterThan(0.15);
        expect(new Set(waits).size).toBeGreaterThan(50);
    });
});
