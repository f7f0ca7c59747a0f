import { readClocks, toFailureDomainId } from "@currantrill/protocol";
import bunyan from "bunyan";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createColdGranting } from "../../../src/warmup/commands/createColdGranting.js";
import { createWarmup } from "../../../src/warmup/commands/createWarmup.js";
import { countMostPerSecond, type Simulation, startSimulation } from "../fleetSimulation.js";

/** Cold for the whole test. */
const policy = { durationMs: 300_000, requestsPerSecond: 26 };
/** Most requests in a second that a cold endpoint may get. */
const countAllowed = (rate: number): number => 1.5 * rate + 5;
/** The largest sum that the design note gives: a host that grants, time slots of the others, and late permits. */
const countLargest = (rate: number): number => 1.1 * 4 / 3 * rate + Math.max(2, 0.03 * rate) + 2;
/** Time after which the host that grants is established. */
const ESTABLISH_MS = 3_500;

beforeEach(() => {
    vi.useFakeTimers({
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"],
        now: 1_000_000,
    });
});
afterEach(() => {
    vi.clearAllTimers();
    vi.useRealTimers();
});

const failures: readonly { name: string; act: (fleet: Simulation) => Promise<void> | void; }[] = [
    { name: "without a failure", act: () => undefined },
    // Guards against the full rate of the next host while the first one goes on.
    { name: "while another host takes over", act: ({ stop, findGranter }) => stop(findGranter()) },
    // Guards against a host that goes on to grant the whole rate to itself after its peers let another one grant.
    { name: "while the granting host is disconnected", act: ({ isolate, findGranter }) => isolate([findGranter()], 1) },
    // Guards against a bucket that is full after an idle time, on top of what the others send meanwhile.
    {
        name: "when the granting host is disconnected after an idle time",
        act: async ({ isolate, findGranter }) => {
            await vi.advanceTimersByTimeAsync(2_000);
            isolate([findGranter()], 1);
        },
    },
    // Guards against a host that resumes with the view that it still grants, and with permits from before.
    {
        name: "when the granting host was frozen and resumes",
        act: async ({ freeze, resume, run, findGranter }) => {
            freeze(findGranter());
            await run(5_000);
            resume(findGranter());
        },
    },
    // The same for a pause that is shorter than the time in which another host takes over.
    {
        name: "when the granting host was frozen for a second",
        act: async ({ freeze, resume, run, findGranter }) => {
            freeze(findGranter());
            await run(1_000);
            resume(findGranter());
        },
    },
    {
        name: "when another host was frozen and resumes",
        act: async ({ freeze, resume, run, hosts }) => {
            freeze(hosts[1]!);
            await run(5_000);
            resume(hosts[1]!);
        },
    },
    // Guards against a host that takes the whole rate because it knows of no other one.
    { name: "while another host is disconnected", act: ({ isolate, hosts }) => isolate([hosts[1]!], 1) },
    {
        name: "while a failure domain is cut off",
        act: ({ isolate, hosts }) => isolate(hosts.filter(host => host.domain === "b"), 1),
    },
    // Guards against buckets of all hosts that are full at the same moment.
    {
        name: "while all hosts are cut off from each other",
        act: ({ isolate, hosts }) => hosts.forEach((host, index) => isolate([host], index)),
    },
    // Guards against a new host that becomes the one that grants, while the former one goes on.
    { name: "when a host starts that ranks first", act: ({ addHost }) => void addHost(0) },
    { name: "when a host starts disconnected", act: ({ addHost }) => void addHost(1) },
    {
        name: "after a partition has ended",
        act: async ({ isolate, run, hosts }) => {
            const cutOff = hosts.filter(host => host.domain === "a");
            isolate(cutOff, 1);
            await run(6_000);
            isolate(cutOff, 0);
        },
    },
];

describe.each([
    { count: 3, stepMs: 10 },
    { count: 80, stepMs: 20 },
    { count: 340, stepMs: 40 },
])("permits of a cold endpoint before $count hosts that choose at once", ({ count, stepMs }) => {
    it.each(failures)("stay within the bound in any second $name", async ({ act }) => {
        const fleet = startSimulation({ hosts: count, policy, stepMs });
        await fleet.run(ESTABLISH_MS);
        await act(fleet);
        await fleet.run(6_000);
        expect(countMostPerSecond(fleet.sentAtMs)).toBeLessThanOrEqual(countLargest(policy.requestsPerSecond));
        expect(fleet.sentAtMs.length).toBeGreaterThan(0);
    });
    // Guards against a rate that the hosts do not use, so that a domain that returns cold serves little.
    it("use most of the rate once the host that grants is established", async () => {
        const fleet = startSimulation({ hosts: count, policy, stepMs });
        await fleet.run(ESTABLISH_MS);
        const before = fleet.sentAtMs.length;
        await fleet.run(4_000);
        expect(fleet.sentAtMs.length - before).toBeGreaterThanOrEqual(0.9 * 4 * policy.requestsPerSecond);
    });
});

describe("permits of a cold endpoint", () => {
    it("are bounded by a sum that is within what the platform allows, at each rate", () => {
        for (let rate = 0.1; rate <= 1_000; rate *= 1.1) {
            expect(countLargest(rate)).toBeLessThanOrEqual(countAllowed(rate));
        }
    });
    it.each([0.5, 2, 200])("stay within the bound at a rate of %d while the granting host changes", async rate => {
        const fleet = startSimulation({ hosts: 80, stepMs: 20, policy: { ...policy, requestsPerSecond: rate } });
        await fleet.run(ESTABLISH_MS);
        fleet.isolate([fleet.findGranter()], 1);
        await fleet.run(6_000);
        expect(countMostPerSecond(fleet.sentAtMs)).toBeLessThanOrEqual(countAllowed(rate));
    });
    // Guards against a host that forgets its peers a minute after it was cut off, and takes the whole rate then.
    it("stay within the bound after a host was disconnected for two minutes", async () => {
        const fleet = startSimulation({ hosts: 3, policy });
        await fleet.run(ESTABLISH_MS);
        fleet.isolate([fleet.hosts[1]!], 1);
        await fleet.run(120_000);
        expect(countMostPerSecond(fleet.sentAtMs)).toBeLessThanOrEqual(countLargest(policy.requestsPerSecond));
    });
    // Guards against hosts that all send at once to a failure domain whose endpoints come back cold.
    it("let a domain that returns cold warm up, and take all requests once it is warm", async () => {
        const fleet = startSimulation({
            hosts: 30,
            policy: { durationMs: 3_000, requestsPerSecond: 26 },
            entry: { coldRemainingMs: 0 },
            endpointIds: ["e", "f", "g"],
        });
        await vi.advanceTimersByTimeAsync(ESTABLISH_MS);
        const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });
        fleet.hosts.forEach(({ directory }) =>
            createWarmup({ log, listEndpoints: directory.listAll })
                .markReturned(toFailureDomainId("a"), readClocks())
        );
        await fleet.run(2_990);
        for (const times of fleet.sentTo.values()) {
            expect(countMostPerSecond(times)).toBeLessThanOrEqual(countLargest(26));
            expect(times.length).toBeGreaterThanOrEqual(0.9 * 26 * 2.9);
        }
        const before = [...fleet.sentTo.values()].flat().length;
        await fleet.run(1_000);
        expect([...fleet.sentTo.values()].flat().length - before).toBeGreaterThanOrEqual(30 * 90);
    });
    // Guards against a warm fleet that pays for the feature.
    it("are not asked for while the endpoint is warm, or without a policy", async () => {
        for (const options of [{ policy, entry: { coldRemainingMs: 0 } }, { policy: undefined }]) {
            const fleet = startSimulation({ hosts: 3, ...options });
            const received = vi.fn();
            fleet.hosts.forEach(host => host.handlers.set("permitQuery", received));
            await fleet.run(100);
            expect(received).not.toHaveBeenCalled();
            expect(fleet.sentAtMs).toHaveLength(30);
        }
    });
});

describe("createColdGranting", () => {
    // Guards against a new host that sends in every slot because it knows of no other one.
    it.each([
        { name: "has seen no peer", hasSeeds: true, cold: 0, none: true },
        { name: "is the only one by its settings", hasSeeds: false, cold: 1, none: true },
    ])("lets a host that $name send to cold endpoints only if it knows its fleet", ({ hasSeeds, cold, none }) => {
        const domain = toFailureDomainId("a");
        const granting = createColdGranting({
            fleet: { countByDomain: () => ({ a: 1 }), listCoordinators: () => ["h"], listLocalDomain: () => ["h"] },
            localDomain: domain,
            address: "h",
            hasSeeds,
            listGrantedDomains: () => new Set([domain]),
        });
        granting.check();
        const need = { endpointId: "e", requestsPerSecond: 26 };
        expect(granting.canTakeShares([need])).toBe(cold === 1);
        expect(granting.canTakeShares([])).toBe(none);
        for (let ms = 0; ms < 3_000; ms += 400) {
            vi.advanceTimersByTime(400);
            granting.check();
        }
        expect(granting.getAllowance(domain, 26) !== undefined).toBe(!hasSeeds);
    });
});
