import { requestJson } from "@currantrill/http";
import type { Fault } from "@currantrill/protocol";
import { servePlatform } from "@currantrill/standins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createObjectClient, createTableClient, isStoreAnswerLost, isStoreUnavailable } from "../src/index.js";

type Platform = Awaited<ReturnType<typeof servePlatform>>;

const write = (attemptId: string) => ({
    attemptId,
    conditions: [{ table: "t", key: "k", version: 0 }],
    writes: [{ table: "t", key: "k", value: attemptId }],
});

describe("platform clients guard against reporting an executed write as not executed", () => {
    let platform: Platform;
    const getUrl = (): string => `http://127.0.0.1:${platform.port}`;
    const setFault = (kind: Fault["kind"], durationMs: number) =>
        requestJson(`${getUrl()}/faults`, { method: "POST", body: { kind, durationMs } });
    beforeEach(async () => {
        platform = await servePlatform();
    });
    afterEach(() => platform.close());

    it("reads back a write whose response was lost", async () => {
        const tables = createTableClient({ url: getUrl() });
        await setFault("loseAnswers", 60_000);
        const error = await tables.transact(write("a")).catch((caught: unknown) => caught);
        expect(isStoreAnswerLost(error)).toBe(true);
        await setFault("loseAnswers", 0);
        expect((await tables.readRow("t", "k"))?.value).toBe("a");
        expect(await tables.listRows("t", "k", 10)).toHaveLength(1);
    });

    it("reports requests during an outage or to a closed port as not executed", async () => {
        const tables = createTableClient({ url: getUrl() });
        await setFault("outage", 60_000);
        expect(isStoreUnavailable(await tables.transact(write("a")).catch((caught: unknown) => caught))).toBe(true);
        await platform.close();
        expect(isStoreUnavailable(await tables.transact(write("a")).catch((caught: unknown) => caught))).toBe(true);
    });

    it("replaces an unresponsive connection by a new one", async () => {
        const tables = createTableClient({ url: getUrl(), timeoutMs: 500 });
        await tables.readRow("t", "k");
        await setFault("silent", 60_000);
        expect(isStoreUnavailable(await tables.readRow("t", "k").catch((caught: unknown) => caught))).toBe(true);
        expect(await tables.readRow("t", "k")).toBeUndefined();
    });

    it("returns an object as it was written", async () => {
        const objects = createObjectClient({ url: getUrl() });
        expect(await objects.readObject("a/b")).toBeUndefined();
        await objects.writeObject("a/b", "text");
        expect(await objects.readObject("a/b")).toBe("text");
    });
});
