import { describe, expect, it } from "vitest";
import { createCopySources } from "../../../src/peers/model/copySources.js";

describe("createCopySources", () => {
    // Guards against a peer that announces changes and gives no copy, and is asked each time before the others.
    it("asks a peer that failed after the others", () => {
        const sources = createCopySources();
        ["a", "b", "c"].forEach(peer => sources.recordAnnouncement(peer, 6));
        const asked = [false, false, true, true, true].map(isCopied => {
            const peer = sources.choose() ?? "none";
            sources.recordStart(peer);
            sources.recordEnd(peer, isCopied);
            return peer;
        });
        expect(asked).toEqual(["a", "b", "c", "c", "c"]);
    });
    // Guards against many copies of a large table at a time, and against two from one peer.
    it("asks three peers at a time", () => {
        const sources = createCopySources();
        ["a", "b", "c", "d"].forEach(peer => sources.recordAnnouncement(peer, 6));
        const asked = [1, 2, 3, 4].map(() => {
            const peer = sources.choose();
            sources.recordStart(peer ?? "none");
            return peer;
        });
        expect(asked).toEqual(["a", "b", "c", undefined]);
    });
    // Guards against a fetch from a peer whose table the host already has, and a list that grows with the fleet's history.
    it("forgets the peers that have nothing newer", () => {
        const sources = createCopySources();
        sources.recordAnnouncement("a", 6);
        expect(sources.hasNewer(5)).toBe(true);
        expect(sources.hasNewer(6)).toBe(false);
        expect(sources.choose()).toBeUndefined();
    });
});
