import { readClocks, toFailureDomainId } from "@currantrill/protocol";
import bunyan from "bunyan";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { EndpointEntry } from "../../../src/configuration/model/servingConfiguration.js";
import { createEndpointDirectory, type EndpointDirectory } from "../../../src/endpoints/model/endpointDirectory.js";
import type { PlatformRows, TableRow } from "../../../src/ports/index.js";

const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });
const service = "s" as never;

const createRow = (id: string, changes: Partial<EndpointEntry> | "unreadable" = {}, version = 1): TableRow => ({
    key: id,
    version,
    value: Buffer.from(JSON.stringify(
        changes === "unreadable"
            ? null
            : {
                id,
                service,
                address: "127.0.0.1:1",
                failureDomain: "a",
                isDraining: false,
                slots: 2,
                processStartedAtMs: 1,
                ...changes,
            },
    )),
});
const createRemoval = (id: string): TableRow => ({ key: id, version: 2 });

function createDirectory(): EndpointDirectory {
    const rows = {
        decodeEndpoint: (_key: string, value: Buffer) => {
            const entry = JSON.parse(value.toString()) as EndpointEntry | null;
            return entry === null ? { ok: false, finding: { path: "", found: "null" } } : { ok: true, value: entry };
        },
    } as unknown as PlatformRows;
    return createEndpointDirectory({
        hostFailureDomain: toFailureDomainId("a"),
        rows,
        isEvacuated: () => false,
        log,
        onConnect: () => undefined,
        onNotice: () => undefined,
    });
}

const markLeaving = (directory: EndpointDirectory): void =>
    directory.get("e1")?.notices.record({ isLeaving: true }, "request", readClocks());
const markDraining = (directory: EndpointDirectory): void =>
    directory.applyRows([createRow("e1", { isDraining: true })], false);

describe("createEndpointDirectory", () => {
    beforeEach(() => {
        vi.useFakeTimers();
    });
    afterEach(() => {
        vi.useRealTimers();
    });
    const listIds = (directory: EndpointDirectory): string[] =>
        directory.listReady(service).map(({ entry }) => entry.id);

    it("lists ready endpoints, but not draining ones", () => {
        const directory = createDirectory();
        directory.applyRows([createRow("e1"), createRow("e2"), createRow("e3", { service: "other" as never })], false);
        directory.applyRows([createRow("e2", { isDraining: true })], false);
        expect(listIds(directory)).toEqual(["e1"]);
    });
    it("removes an endpoint whose entry is removed", () => {
        const directory = createDirectory();
        directory.applyRows([createRow("e1")], false);
        directory.applyRows([createRemoval("e1")], false);
        expect(listIds(directory)).toEqual([]);
    });
    // Guards against requests to an endpoint that has said that it leaves, or drains, because a store that is restored
    // from an older copy has its entry from before again.
    it.each([
        { name: "leaves", leave: markLeaving, changes: {}, afterMs: 3_000, expected: [] },
        { name: "drains", leave: markDraining, changes: {}, afterMs: 3_000, expected: [] },
        { name: "leaves, a minute later", leave: markLeaving, changes: {}, afterMs: 61_000, expected: ["e1"] },
        {
            name: "has left, and has been started again",
            leave: markLeaving,
            changes: { processStartedAtMs: 2 },
            afterMs: 3_000,
            expected: ["e1"],
        },
        { name: "had lost its entry", leave: () => undefined, changes: {}, afterMs: 3_000, expected: ["e1"] },
    ])("remembers what an endpoint that $name has said", ({ leave, changes, afterMs, expected }) => {
        const directory = createDirectory();
        directory.applyRows([createRow("e1")], false);
        leave(directory);
        directory.applyRows([createRemoval("e1")], false);
        vi.advanceTimersByTime(afterMs);
        directory.applyRows([createRow("e1", changes, 3)], true);
        expect(listIds(directory)).toEqual(expected);
    });
    // Guards against a host without any endpoints after a store outage in which all entries expired.
    it("keeps an endpoint whose entry expired during an outage for the grace period", () => {
        const directory = createDirectory();
        directory.applyRows([createRow("e1"), createRow("e2")], false);
        directory.applyRows([createRemoval("e1"), createRemoval("e2")], true);
        vi.advanceTimersByTime(2_000);
        expect(listIds(directory)).toEqual(["e1", "e2"]);
        directory.applyRows([createRow("e1", {}, 3)], false);
        vi.advanceTimersByTime(1_000);
        expect(listIds(directory)).toEqual(["e1"]);
    });
    it("ignores an invalid entry, and uses the endpoint again once its entry is valid", () => {
        const directory = createDirectory();
        directory.applyRows([createRow("e1"), createRow("e2")], false);
        directory.applyRows([createRow("e1", "unreadable")], false);
        expect(listIds(directory)).toEqual(["e2"]);
        directory.applyRows([createRow("e1")], false);
        expect(listIds(directory)).toEqual(["e2", "e1"]);
    });
    // Guards against reusing the connections and health of an earlier process with the same id.
    it("replaces an endpoint that was restarted", () => {
        const directory = createDirectory();
        directory.applyRows([createRow("e1")], false);
        const before = directory.get("e1");
        directory.applyRows([createRow("e1", { slots: 3 })], false);
        expect(directory.get("e1")).toBe(before);
        directory.applyRows([createRow("e1", { processStartedAtMs: 2 })], false);
        expect(directory.get("e1")).not.toBe(before);
    });
    it("removes an endpoint whose address belongs to another endpoint", () => {
        const directory = createDirectory();
        directory.applyRows([createRow("e1")], false);
        directory.markMisdirected(directory.get("e1")!);
        expect(listIds(directory)).toEqual([]);
    });
});
