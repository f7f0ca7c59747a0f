import bunyan from "bunyan";
import { EventEmitter } from "node:events";
import { describe, expect, it } from "vitest";
import { handleStopSignals } from "../src/handleStopSignals.js";

const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });

describe("handleStopSignals", () => {
    // Guards against a second signal that ends the process at once, with all requests in flight: a signal without a
    // listener does.
    it.each([
        { name: "SIGTERM twice", signals: ["SIGTERM", "SIGTERM"], isHandled: [true, true] },
        { name: "SIGTERM many times", signals: Array(5).fill("SIGTERM") as string[], isHandled: Array(5).fill(true) },
        { name: "SIGINT, then SIGTERM", signals: ["SIGINT", "SIGTERM"], isHandled: [true, true] },
        { name: "SIGTERM, then SIGINT", signals: ["SIGTERM", "SIGINT"], isHandled: [true, true] },
        { name: "SIGINT twice, which ends it", signals: ["SIGINT", "SIGINT"], isHandled: [true, false] },
    ])("handles $name, and exits once the host has shut down", async ({ signals, isHandled }) => {
        const source = new EventEmitter();
        const events: string[] = [];
        let finish: () => void = () => undefined;
        const drained = new Promise<void>(resolve => {
            finish = resolve;
        });
        handleStopSignals({ source, log, drain: () => drained, exit: () => events.push("exit") });
        expect(signals.map(signal => source.emit(signal))).toEqual(isHandled);
        await Promise.resolve();
        expect(events).toEqual([]);
        finish();
        await drained;
        await Promise.resolve();
        expect(events[0]).toBe("exit");
    });
    // Guards against a grace time that is counted from the handling of a signal that arrived earlier.
    it("tells the shutdown how long the signal may have waited", () => {
        const source = new EventEmitter();
        const delays: number[] = [];
        const drain = (delayMs: number): Promise<void> => {
            delays.push(delayMs);
            return Promise.resolve();
        };
        handleStopSignals({ source, log, drain, exit: () => undefined, getDelayMs: () => 699.6 });
        source.emit("SIGTERM");
        expect(delays).toEqual([700]);
    });
    // Guards against a process that lives on without serving because its shutdown has failed.
    it("exits if the shutdown fails", async () => {
        const source = new EventEmitter();
        const exited = new Promise<void>(resolve => {
            handleStopSignals({ source, log, drain: () => Promise.reject(new Error("lost")), exit: resolve });
        });
        source.emit("SIGTERM");
        await exited;
    });
});
