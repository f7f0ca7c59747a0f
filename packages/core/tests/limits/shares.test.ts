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
            name: "unreachable, last share charged",
            scopes: [scope("a", 9), scope("b", 9, false)],
            charged: { b: 0.7 },
            expected: { a: 0.3, b: 0.7 },
        },
        {
            name: "unreachable domain, never seen",
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

describe("getShare guards against growth before the others have shrunk", () => {
    const grow = (atMs: number, demand: number, state: ShareState = emptyShareState): ShareState =>
        updateShares(state, "a", [scope("a", demand), scope("b", 1)], atMs);
    const started = -EXCHANGE_INTERVAL_MS;
    const low = grow(0, 1);
    const high = grow(1_000, 99, low);
    it.each([
        { name: "grows late", state: high, now: 1_000, expected: 0.5 },
        { name: "grows after the interval", state: grow(EXCHANGE_INTERVAL_MS + 1, 99, high), now: 0, expected: 0.892 },
        { name: "shrinks at once", state: grow(2_000, 0, high), now: 2_000, expected: 0.1 },
    ])("$name", ({ state, now, expected }) => {
        expect(getShare(state, 2, started, now)).toBeCloseTo(expected);
    });

    it("a host that has just started takes no more than the equal share", () => {
        const alone = updateShares(emptyShareState, "a", [scope("a", 1)], 0);
        expect(getShare(alone, 4, 0, 0)).toBe(0.25);
    });
});

interface Overshoot {
    readonly connected: number;
    readonly partitioned: number;
}

/** Hosts whose demand jumps at random, with facts that take up to 18 s, and a partition from 300 s to 600 s. */
function measureOvershoot(seed: number, hosts: number): Overshoot {
    const maxDelay = 18;
    let random = createRandomState(seed);
    const draw = (): number => {
        const drawn = generateFractions(random, 1);
        random = drawn.next;
        return drawn.values[0] ?? 0;
    };
    const names = Array.from({ length: hosts }, (_unused, index) => `h${index}`);
    const published = names.map(() => [1]);
    const seen = names.map(() => names.map(() => 0));
    const states = names.map(() => emptyShareState);
    const sums = { connected: 0, partitioned: 0 };
    for (let second = 0; second < 900; second += 1) {
        const isCut = second >= 300 && second < 600;
        for (const [index, series] of published.entries()) {
            const last = series.at(-1)!;
            series.push(second % 5 === 0 && draw() < 0.1 ? Math.floor(draw() * 20) : last);
            for (const other of names.keys()) {
                const isReached = !isCut || other % 2 === index % 2;
                const delay = other === index ? 0 : Math.floor(draw() * maxDelay);
                if (isReached) {
                    seen[other]![index] = Math.max(seen[other]![index]!, second - delay);
                }
            }
        }
        const shares = names.map((name, own) => {
            const scopes = names.map((other, index) =>
                scope(
                    other,
                    published[index]![Math.max(0, seen[own]![index]!)]!,
                    !isCut || second < 315 || index % 2 === own % 2,
                )
            );
            states[own] = updateShares(states[own]!, name, scopes, second * 1_000);
            return getShare(states[own], hosts, -EXCHANGE_INTERVAL_MS, second * 1_000);
        });
        const sum = shares.reduce((total, share) => total + share, 0);
        const phase = second >= 300 && second < 620 ? "partitioned" : "connected";
        sums[phase] = Math.max(sums[phase], sum);
    }
    return sums;
}

it("the shares guard against an overshoot beyond the stated one", () => {
    const results = [1, 2, 3].flatMap(seed => [2, 6, 12].map(hosts => measureOvershoot(seed, hosts)));
    const largest = (phase: keyof Overshoot) => Math.max(...results.map(result => result[phase]));
    expect(largest("connected")).toBeLessThanOrEqual(1.05);
    expect(largest("partitioned")).toBeLessThanOrEqual(1.25);
});
