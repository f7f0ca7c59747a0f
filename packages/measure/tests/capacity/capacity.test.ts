import { describe, expect, it } from "vitest";
import type { HostSample, SizeSample, WindowSample } from "../../src/capacity/model/sample.js";
import { checkOrderings } from "../../src/capacity/queries/checkOrderings.js";
import { estimateValue, fitSlopes } from "../../src/capacity/queries/fitSlopes.js";
import { sumMetric } from "../../src/capacity/queries/sumMetric.js";

it("fitSlopes guards against a wrong extrapolation to the target size", () => {
    const points = [[1, 2, 5], [1, 4, 1], [1, 8, 7], [1, 16, 3]];
    const rows = points.map(features => ({ features, value: 10 + 3 * features[1]! + 0.5 * features[2]! }));
    expect(estimateValue(fitSlopes(rows), [1, 57, 195])).toBeCloseTo(10 + 171 + 97.5, 1);
});

it.each([
    { text: "a_total{x=\"1\"} 2\na_total{x=\"2\"} 3\na_total_more 9", expected: 5 },
    { text: "a_total 4", expected: 4 },
    { text: "# HELP a_total 7", expected: 0 },
])("sumMetric guards against a metric that is counted twice or missed: $text", ({ text, expected }) => {
    expect(sumMetric(text, "a_total")).toBe(expected);
});

describe("checkOrderings guards against a cost per host that grows with the fleet", () => {
    const createHostSample = (bytes: number, messages: number): HostSample => ({
        bytes,
        messages,
        processor: 1,
        megabytes: 1,
    });
    const createWindow = (bytes: number, messages: number): WindowSample => ({
        hostsPerDomain: 1,
        domains: 3,
        endpointsPerDomain: 1,
        mean: createHostSample(bytes, messages),
        largest: createHostSample(bytes, messages),
    });
    const createSize = (hosts: number, messages: number, addedBytes: number): SizeSample => ({
        hosts,
        before: createWindow(1, messages),
        after: createWindow(1 + addedBytes, messages),
        ticketMs: 1,
    });
    it.each([
        { name: "all orderings hold", samples: [createSize(3, 10, 1), createSize(12, 20, 1)], failed: 0 },
        {
            name: "messages per host grow in proportion to the fleet",
            samples: [createSize(3, 10, 1), createSize(12, 40, 1)],
            failed: 1,
        },
        {
            name: "additional endpoints do not increase the traffic",
            samples: [createSize(3, 10, 0), createSize(12, 20, 0)],
            failed: 1,
        },
    ])("$name", ({ samples, failed }) => {
        expect(checkOrderings(samples)).toHaveLength(failed);
    });
});
