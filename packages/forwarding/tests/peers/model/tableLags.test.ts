import bunyan from "bunyan";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createTableLags } from "../../../src/peers/model/tableLags.js";
import type { SharedTable } from "../../../src/replicas/model/sharedTable.js";
import { createTableReplica } from "../../../src/replicas/model/tableReplica.js";

describe("createTableLags", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());
    // Guards against a host that is behind its peers for seconds, and neither logs nor measures it.
    it("counts from the first announcement until the replica has the newest version", () => {
        let version = 5;
        const table: SharedTable = {
            getReplica: () => ({ ...createTableReplica("t"), version }),
            getRecovery: () => undefined,
            isFollowing: () => false,
            adoptFromPeer: () => undefined,
        };
        const warnings: unknown[] = [];
        const log = bunyan.createLogger({
            name: "test",
            streams: [{ type: "raw", stream: { write: (line: unknown) => warnings.push(line) } }],
        });
        const lags = createTableLags(new Map([["t", table]]), log);
        const announce = (announced: number): void =>
            lags.record("t", { peer: "p", version: announced, isFetching: true });
        announce(5);
        expect(lags.getBehindMs()).toEqual({ t: 0 });
        announce(6);
        vi.advanceTimersByTime(600);
        announce(8);
        vi.advanceTimersByTime(400);
        announce(8);
        announce(8);
        expect(lags.getBehindMs()).toEqual({ t: 1_000 });
        expect(warnings).toMatchObject([{ peer: "p", table: "t", behindMs: 1_000, isFetching: true }]);
        version = 6;
        expect(lags.getBehindMs()).toEqual({ t: 1_000 });
        version = 8;
        expect(lags.getBehindMs()).toEqual({ t: 0 });
    });
});
