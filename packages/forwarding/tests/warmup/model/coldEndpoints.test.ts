import { readClocks, toFailureDomainId } from "@currantrill/protocol";
import bunyan from "bunyan";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { EndpointEntry } from "../../../src/configuration/model/servingConfiguration.js";
import { createEndpointDirectory, type EndpointDirectory } from "../../../src/endpoints/model/endpointDirectory.js";
import { decodeNotice, encodeNotice, listNoticeReports } from "../../../src/notices/queries/noticeCodec.js";
import type { PlatformRows, TableRow } from "../../../src/ports/index.js";
import { createWarmup } from "../../../src/warmup/commands/createWarmup.js";
import { adoptNotice, recordNotice } from "../../../src/warmup/commands/recordNotice.js";
import { getEffectiveLimit } from "../../../src/warmup/queries/getEffectiveLimit.js";
import { isPermitCurrent } from "../../../src/warmup/queries/isPermitCurrent.js";
import { selectWarm } from "../../../src/warmup/queries/selectWarm.js";

const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });

const createRow = (changes: Partial<EndpointEntry> = {}, id = "e"): TableRow => ({
    key: id,
    version: 1,
    value: Buffer.from(JSON.stringify({
        id,
        service: "s",
        address: "127.0.0.1:1",
        failureDomain: "a",
        isDraining: false,
        slots: 2,
        processStartedAtMs: 1,
        ...changes,
    })),
});

function createDirectory(...firstRows: readonly TableRow[]): EndpointDirectory {
    const directory = createEndpointDirectory({
        hostFailureDomain: toFailureDomainId("a"),
        rows: {
            decodeEndpoint: (_key: string, value: Buffer) => ({
                ok: true,
                value: JSON.parse(value.toString()) as object,
            }),
        } as unknown as PlatformRows,
        isEvacuated: () => false,
        log,
        onConnect: () => undefined,
        onNotice: () => undefined,
        getColdPolicy: () => ({ durationMs: 3_000, requestsPerSecond: 26 }),
    });
    directory.applyRows(firstRows, false);
    return directory;
}

const getLimit = (directory: EndpointDirectory): ReturnType<typeof getEffectiveLimit> =>
    getEffectiveLimit(directory.get("e")!, readClocks());
const coldLimit = { requestsPerSecond: 26, isCold: true };
const sayLimit = (directory: EndpointDirectory, requestsPerSecond: number): void =>
    recordNotice(directory.get("e")!, { isLeaving: false, requestsPerSecond }, "request", readClocks());

describe("cold endpoints of a directory", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    it.each<{ name: string; first: TableRow[]; then: TableRow[]; isCold: boolean; }>([
        // Guards against a host that starts and takes a whole warm fleet for cold.
        { name: "is in the first snapshot", first: [createRow()], then: [], isCold: false },
        {
            name: "is in the first snapshot as cold",
            first: [createRow({ coldRemainingMs: 9 })],
            then: [],
            isCold: true,
        },
        { name: "appears later", first: [], then: [createRow()], isCold: true },
        { name: "appears later as warm", first: [], then: [createRow({ coldRemainingMs: 0 })], isCold: false },
        // Guards against full load on an endpoint that has restarted under its id.
        { name: "has restarted", first: [createRow()], then: [createRow({ processStartedAtMs: 2 })], isCold: true },
        { name: "is written again", first: [createRow()], then: [createRow({ slots: 3 })], isCold: false },
        {
            name: "is removed and written again by the same process",
            first: [createRow()],
            then: [{ key: "e", version: 2 }, createRow()],
            isCold: false,
        },
    ])("are known when one $name", ({ first, then, isCold }) => {
        const directory = createDirectory(...first);
        directory.applyRows(then, false);
        expect(getLimit(directory)).toEqual(isCold ? coldLimit : undefined);
        vi.advanceTimersByTime(3_000);
        expect(getLimit(directory)).toBeUndefined();
    });
    // Guards against a step of the wall clock that ends or extends the cold time.
    it.each([-3_600_000, 3_600_000])("stay cold for their time when the wall clock is stepped by %d ms", stepMs => {
        const directory = createDirectory();
        directory.applyRows([createRow()], false);
        vi.setSystemTime(Date.now() + stepMs);
        expect(getLimit(directory)).toEqual(coldLimit);
        vi.advanceTimersByTime(3_000);
        expect(getLimit(directory)).toBeUndefined();
    });
    it.each([{ named: 2, expected: 2 }, { named: 40, expected: 26 }])(
        "get the lower of their cold rate and the limit $named that they name",
        ({ named, expected }) => {
            const directory = createDirectory(createRow({ coldRemainingMs: 3_000 }));
            sayLimit(directory, named);
            expect(getLimit(directory)).toEqual({ requestsPerSecond: expected, isCold: true });
            vi.advanceTimersByTime(3_000);
            expect(getLimit(directory)).toEqual({ requestsPerSecond: named, isCold: false });
        },
    );
    it("are those of a domain that has returned, and no others", () => {
        const directory = createDirectory(createRow(), createRow({ failureDomain: toFailureDomainId("b") }, "f"));
        const warmup = createWarmup({ log, listEndpoints: directory.listAll });
        warmup.markReturned(toFailureDomainId("b"), readClocks());
        expect(warmup.countCold(readClocks())).toBe(1);
        expect(getLimit(directory)).toBeUndefined();
    });
    // Guards against a host that learns of a cold endpoint only from the one that has probed it, which does not tell.
    it("are told to other hosts, without ending a limit there", () => {
        const [teller, listener] = [createDirectory(createRow()), createDirectory(createRow())];
        teller.get("e")!.warmth.recordResponse({ coldRemainingMs: 2_000 }, performance.now());
        sayLimit(listener, 5);
        vi.advanceTimersByTime(500);
        const told = listNoticeReports(teller, readClocks()).map(encodeNotice).map(decodeNotice);
        told.forEach(notice => adoptNotice(listener.get("e")!, notice, readClocks()));
        expect(getLimit(listener)).toEqual({ requestsPerSecond: 5, isCold: true });
        vi.advanceTimersByTime(1_500);
        expect(getLimit(listener)).toEqual({ requestsPerSecond: 5, isCold: false });
    });
    // Guards against requests that a paused process sends together with permits from before its pause.
    it("are not sent a request whose permit is old", () => {
        const directory = createDirectory(createRow({ coldRemainingMs: 1_000 }));
        const permitted = { endpoints: [directory.get("e")!], at: readClocks() };
        vi.advanceTimersByTime(70);
        expect(isPermitCurrent(permitted, readClocks())).toBe(true);
        vi.advanceTimersByTime(1);
        expect(isPermitCurrent(permitted, readClocks())).toBe(false);
        vi.advanceTimersByTime(1_000);
        expect(isPermitCurrent(permitted, readClocks())).toBe(true);
    });
    // Guards against a request that asks one cold endpoint after the other while warm ones are there.
    it.each([
        { attempt: 1, loads: [true, false], expected: 2 },
        { attempt: 2, loads: [true, false], expected: 1 },
        { attempt: 2, loads: [true, true], expected: 2 },
    ])("are candidates in attempt $attempt among $loads: $expected", ({ attempt, loads, expected }) => {
        expect(selectWarm(loads.map(isCold => ({ isCold })), attempt)).toHaveLength(expected);
    });
});
