import { describe, expect, it } from "vitest";
import {
    computeFractions,
    createRandomState,
    type DemandScope,
    emptyShareState,
    EXCHANGE_INTERVAL_MS,
    generateFractions,
    getShare,
    type ShareState,
    updateShares,
} from "../../src/index.js";

const scope = (name: string, demand: number, isReachable = true, hosts = 1): DemandScope => ({
    scope: name,
    hosts,
    demand,
    isReachable,
});

describe("computeFractions guards against a sum above the entitlement", () => {
    it.each([
        { name: "equal demand", scopes: [scope("a", 1), scope("b", 1)], charged: {}, expected: { a: 0.5, b: 0.5 } },
        { name: "no demand", scopes: [scope("a", 0), scope("b", 0)], charged: {}, expected: { a: 0.5, b: 0.5 } },
        {
            name: "one has all demand",
            scopes: [scope("a", 9), scope("b", 0)],
            charged: {},
            expected: { a: 0.9, b: 0.1 },
        },
        {
            name: "unreachable, charged with its recorded share",
            scopes: [scope("a", 9), scope("b", 9, false)],
            charged: { b: 0.7 },
            expected: { a: 0.3, b: 0.7 },
        },
        {
            name: "unreachable domain without a charged share",
            scopes: [scope("a", 9), scope("d", 9, false, 3)],
            charged: {},
            expected: { a: 0.25, d: 0.75 },
        },
    ])("$name", ({ scopes, charged, expected }) => {
        const fractions = computeFractions(scopes, new Map(Object.entries(charged)));
        for (const [name, fraction] of Object.entries(expected)) {
            expect(fractions.get(name)).toBeCloseTo(fraction);
        }
    });
});

describe("getShare guards against an increase before the other hosts have decreased their shares", () => {
    const updateDemand = (atMs: number, demand: number, state: ShareState = emptyShareState): ShareState =>
        updateShares(state, "a", [scope("a", demand), scope("b", 1)], atMs);
    const started = -EXCHANGE_INTERVAL_MS;
    const low = updateDemand(0, 1);
    const high = updateDemand(1_000, 99, low);
    it.each([
        { name: "increase not in effect yet", state: high, now: 1_000, expected: 0.5 },
        {
            name: "increase in effect after the interval",
            state: updateDemand(EXCHANGE_INTERVAL_MS + 1, 99, high),
            now: 0,
            expected: 0.892,
        },
        { name: "decrease in effect at once", state: updateDemand(2_000, 0, high), now: 2_000, expected: 0.1 },
    ])("$name", ({ state, now, expected }) => {
        expect(getShare(state, 2, started, now)).toBeCloseTo(expected);
    });

    it("a host that has just started uses no more than the equal share", () => {
        const alone = updateShares(emptyShareState, "a", [scope("a", 1)], 0);
        expect(getShare(alone, 4, 0, 0)).toBe(0.25);
    });
});

interface Overshoot {
    readonly connected: number;
    readonly partitioned: number;
}

/**
 * Measures the largest sum of shares of hosts whose demand changes at random. Updates take up to 18 s to arrive, and a
 * network partition lasts from 300 s to 600 s.
 */
function measureOvershoot(seed: number, hosts: number): Overshoot {
    const maxDelay = 18;
    let random = createRandomState(seed);
    const generateFraction = (): number => {
        const drawn = generateFractions(random, 1);
        random = drawn.next;
        return drawn.values[0] ?? 0;
    };
    const names = Array.from({ length: hosts }, (_unused, index) => `h${index}`);
    const published = names.map(() => [1]);
    const receivedAt = names.map(() => names.map(() => 0));
    const states = names.map(() => emptyShareState);
    const sums = { connected: 0, partitioned: 0 };
    for (let second = 0; second < 900; second += 1) {
        const isPartitioned = second >= 300 && second < 600;
        for (const [index, series] of published.entries()) {
            const last = series.at(-1)!;
            series.push(second % 5 === 0 && generateFraction() < 0.1 ? Math.floor(generateFraction() * 20) : last);
            for (const other of names.keys()) {
                const isConnected = !isPartitioned || other % 2 === index % 2;
                const delay = other === index ? 0 : Math.floor(generateFraction() * maxDelay);
                if (isConnected) {
                    receivedAt[other]![index] = Math.max(receivedAt[other]![index]!, second - delay);
                }
            }
        }
        const shares = names.map((name, self) => {
            const scopes = names.map((other, index) =>
                scope(
                    other,
                    published[index]![Math.max(0, receivedAt[self]![index]!)]!,
                    !isPartitioned || second < 315 || index % 2 === self % 2,
                )
            );
            states[self] = updateShares(states[self]!, name, scopes, second * 1_000);
            return getShare(states[self], hosts, -EXCHANGE_INTERVAL_MS, second * 1_000);
        });
        const sum = shares.reduce((total, share) => total + share, 0);
        const phase = second >= 300 && second < 620 ? "partitioned" : "connected";
        sums[phase] = Math.max(sums[phase], sum);
    }
    return sums;
}

it("updateShares keeps the sum of shares at 105% of the entitlement at most, and at 125% during a partition", () => {
    const results = [1, 2, 3].flatMap(seed => [2, 6, 12].map(hosts => measureOvershoot(seed, hosts)));
    const largest = (phase: keyof Overshoot) => Math.max(...results.map(result => result[phase]));
    expect(largest("connected")).toBeLessThanOrEqual(1.05);
    expect(largest("partitioned")).toBeLessThanOrEqual(1.25);
});
