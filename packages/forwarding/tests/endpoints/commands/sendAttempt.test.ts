import { afterEach, describe, expect, it } from "vitest";
import { type AttemptFailure, sendAttempt } from "../../../src/endpoints/commands/sendAttempt.js";
import { createConnectionPool } from "../../../src/endpoints/model/connectionPool.js";
import { startEndpoint, writeAnswer } from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

describe("sendAttempt", () => {
    // Guards against a request that a process sends after a pause, although its time or its permission has run out.
    it("sends nothing if the request may no longer be sent once the connection is established", async () => {
        const endpoint = await startEndpoint("e0", (received, socket) => writeAnswer(socket, received, 200, "whole"));
        const pool = createConnectionPool(endpoint.address);
        closers.push(() => pool.close(), endpoint.close);
        let wasSent = false;
        const failure = await new Promise<AttemptFailure>(resolve =>
            sendAttempt(pool, {
                method: "GET",
                target: "/r/x",
                headers: [],
                body: Buffer.alloc(0),
                usesNewConnection: true,
            }, {
                canSend: () => false,
                onSent: () => void (wasSent = true),
                onResponse: () => true,
                onData: () => true,
                onEnd: () => undefined,
                onFailure: resolve,
            })
        );
        expect(failure).toBe("aborted");
        expect(wasSent).toBe(false);
        expect(endpoint.received).toHaveLength(0);
    });
});
