import bunyan from "bunyan";
import { EventEmitter } from "node:events";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { monitorStart, type StartMonitor } from "../src/monitorStart.js";
import { createStartProgress } from "../src/startProgress.js";

interface Fixture {
    readonly monitor: StartMonitor;
    readonly source: EventEmitter;
    readonly exits: number[];
    readonly lines: Record<string, unknown>[];
    readonly counts: { errors: number; };
}

function createFixture(): Fixture {
    const lines: Record<string, unknown>[] = [];
    const log = bunyan.createLogger({
        name: "test",
        streams: [{
            type: "raw",
            stream: { write: (line: unknown) => lines.push(line as Record<string, unknown>) },
        }],
    });
    const [source, exits, counts] = [new EventEmitter(), [] as number[], { errors: 0 }];
    const progress = createStartProgress(log);
    progress.beginStep("addresses");
    const monitor = monitorStart({
        log,
        progress,
        source,
        onUnexpectedError: () => {
            counts.errors += 1;
        },
        timeoutMs: 10_000,
        exit: code => exits.push(code),
    });
    return { monitor, source, exits, lines, counts };
}

describe("monitorStart", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    // Guards against a process that lives on after an error of its start that nothing handles, and never serves.
    it.each([
        { name: "an exception during the start", event: "uncaughtException", started: false, exits: [4], errors: 0 },
        { name: "a rejection during the start", event: "unhandledRejection", started: false, exits: [4], errors: 0 },
        { name: "an exception after the start", event: "uncaughtException", started: true, exits: [], errors: 1 },
        { name: "a rejection after the start", event: "unhandledRejection", started: true, exits: [], errors: 1 },
    ])("decides on $name", ({ event, started, exits, errors }) => {
        const fixture = createFixture();
        if (started) {
            fixture.monitor.complete();
        }
        fixture.source.emit(event, new Error("lost"));
        expect(fixture.exits).toEqual(exits);
        expect(fixture.counts.errors).toBe(errors);
        expect(fixture.lines.at(-1)).toMatchObject(
            started
                ? { msg: "host: unexpected error", err: { message: "lost" } }
                : { msg: "host: start failed", step: "addresses", exitCode: 4, err: { message: "lost" } },
        );
    });
    // Guards against a start that waits for ever for something that never answers.
    it.each([
        { name: "ends a start that takes too long", completeAfterMs: Infinity, exits: [5] },
        { name: "leaves a process that has started", completeAfterMs: 9_000, exits: [] },
    ])("$name", ({ completeAfterMs, exits }) => {
        const { monitor, exits: seen, lines } = createFixture();
        for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 500) {
            if (elapsedMs === completeAfterMs) {
                monitor.complete();
            }
            vi.advanceTimersByTime(500);
        }
        expect(seen).toEqual(exits);
        expect(lines.some(line => line["msg"] === "host: start did not end in time")).toBe(exits.length > 0);
    });
});
