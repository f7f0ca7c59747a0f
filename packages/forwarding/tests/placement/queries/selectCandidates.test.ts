import { toFailureDomainId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { selectCandidates } from "../../../src/placement/queries/selectCandidates.js";
import { createLoad } from "../../engineFixture.js";

const createLoads = (domains: string, silent: readonly number[] = []) =>
    Array.from(domains, (domain, index) =>
        createLoad(String(index), {
            failureDomain: toFailureDomainId(domain),
            isSilent: silent.includes(index),
        }));

describe("selectCandidates", () => {
    // Guards against prompts placed by old news of other domains, and against none placed where the own domain is lost.
    it.each([
        { name: "the own domain's", domains: "aabbcc", silent: [], expected: ["0", "1"] },
        { name: "those that answer", domains: "aaabbb", silent: [1], expected: ["0", "2"] },
        { name: "all where the own domain has lost most", domains: "aaabbb", silent: [0, 1], expected: "012345" },
        { name: "all where the own domain has none", domains: "bbcc", silent: [], expected: "0123" },
        { name: "all where none answers", domains: "ab", silent: [0, 1], expected: "01" },
    ])("selects $name", ({ domains, silent, expected }) => {
        const selected = selectCandidates(createLoads(domains, silent), toFailureDomainId("a"));
        expect(selected.map(load => load.id)).toEqual(Array.from(expected));
    });
});
