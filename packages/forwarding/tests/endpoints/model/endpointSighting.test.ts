import { describe, expect, it } from "vitest";
import { createSightingBoard } from "../../../src/endpoints/model/endpointSighting.js";

const silent = { endpointId: "e1", isSilent: true, failures: 1 };

describe("createSightingBoard", () => {
    // Guards against each host of a large fleet losing a request to learn that an endpoint fails.
    it("joins what peers have seen", () => {
        const board = createSightingBoard();
        board.setPeer("a:1", [silent], 0);
        board.setPeer("b:1", [silent, { endpointId: "e2", isSilent: false, failures: 0.5, pace: 4 }], 0);
        expect(board.get("e1", 100)).toEqual({ silentWitnesses: 2, failures: 2, pace: 1 });
        expect(board.get("e2", 100)).toEqual({ silentWitnesses: 0, failures: 0.5, pace: 4 });
    });
    // Guards against an endpoint that stays avoided after peers have regained it, or have gone.
    it.each([
        { name: "the peer says nothing of it any more", update: true, nowMs: 100 },
        { name: "the peer is not heard any more", update: false, nowMs: 2_000 },
    ])("forgets a sighting once $name", ({ update, nowMs }) => {
        const board = createSightingBoard();
        board.setPeer("a:1", [silent], 0);
        if (update) {
            board.setPeer("a:1", [], 50);
        }
        expect(board.get("e1", nowMs)).toEqual({ silentWitnesses: 0, failures: 0, pace: 1 });
    });
});
