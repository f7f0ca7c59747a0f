import { toFailureDomainId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { selectCandidates } from "../../../src/placement/queries/selectCandidates.js";
import { createLoad } from "../../engineFixture.js";

const createLoads = (domains: string, unresponsive: readonly number[] = []) =>
    Array.from(domains, (domain, index) =>
        createLoad(String(index), {
            failureDomain: toFailureDomainId(domain),
            isUnresponsive: unresponsive.includes(index),
        }));

describe("selectCandidates", () => {
    // Guards against placement by outdated load data of other domains, and against none if the local domain is down.
    it.each([
        { name: "the local domain's endpoints", domains: "aabbcc", unresponsive: [], expected: ["0", "1"] },
        { name: "the responsive endpoints", domains: "aaabbb", unresponsive: [1], expected: ["0", "2"] },
        {
            name: "all if most of the local domain is unresponsive",
            domains: "aaabbb",
            unresponsive: [0, 1],
            expected: "012345",
        },
        { name: "all if the local domain has none", domains: "bbcc", unresponsive: [], expected: "0123" },
        { name: "all if none is responsive", domains: "ab", unresponsive: [0, 1], expected: "01" },
    ])("selects $name", ({ domains, unresponsive, expected }) => {
        const selected = selectCandidates(createLoads(domains, unresponsive), toFailureDomainId("a"));
        expect(selected.map(load => load.id)).toEqual(Array.from(expected));
    });
});
