import { EventEmitter } from "node:events";
import { describe, expect, it } from "vitest";
import { collectSignals } from "../src/collectSignals.js";

describe("collectSignals", () => {
    // Guards against a signal that is lost, or handled twice, because it comes before there is a handler.
    it.each([
        { name: "before the handler", before: ["SIGHUP", "SIGTERM"], after: [], handled: ["SIGHUP", "SIGTERM"] },
        { name: "several times before the handler", before: ["SIGHUP", "SIGHUP"], after: [], handled: ["SIGHUP"] },
        { name: "after the handler", before: [], after: ["SIGINT", "SIGINT"], handled: ["SIGINT", "SIGINT"] },
        { name: "before and after it", before: ["SIGHUP"], after: ["SIGTERM"], handled: ["SIGHUP", "SIGTERM"] },
    ])("passes on signals that come $name", ({ before, after, handled }) => {
        const source = new EventEmitter();
        const signals = collectSignals(source);
        const seen: string[] = [];
        before.forEach(signal => source.emit(signal));
        signals.setHandler(signal => seen.push(signal));
        after.forEach(signal => source.emit(signal));
        expect(seen).toEqual(handled);
    });
    // Guards against a moment without a listener, in which the default action of a signal would end the process.
    it("listens until it is closed", () => {
        const source = new EventEmitter();
        const signals = collectSignals(source);
        const count = (): number =>
            ["SIGTERM", "SIGINT", "SIGHUP"].filter(signal => source.listenerCount(signal) === 1).length;
        expect(count()).toBe(3);
        signals.setHandler(() => undefined);
        expect(count()).toBe(3);
        signals.close();
        expect(count()).toBe(0);
    });
});
