import { toEndpointId, toRequestId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    advanceGang,
    createGangAttempt,
    createRandomState,
    type GangAttempt,
    type GangEvent,
    type GangMember,
    generateFractions,
} from "../../src/index.js";

const members = (names: string): GangMember[] =>
    Array.from(names, name => ({ endpoint: toEndpointId(name), tokens: 100 }));
const planned = (names: string): GangEvent => ({ kind: "planned", members: members(names) });
const allocated = (name: string): GangEvent => ({ kind: "allocated", endpoint: toEndpointId(name) });
const refused = (name: string): GangEvent => ({ kind: "refused", endpoint: toEndpointId(name) });
const failed = (name: string): GangEvent => ({ kind: "memberFailed", endpoint: toEndpointId(name) });
const create = (): GangAttempt => createGangAttempt(toRequestId("r"), 0, 10_000);

const runEvents = (events: readonly GangEvent[], now = 0) =>
    events.reduce((step, event) => advanceGang(step.attempt, event, now, 0.5), {
        attempt: create(),
        actions: [] as ReturnType<typeof advanceGang>["actions"],
    });

describe("advanceGang guards against memory that stays held and against waiting while holding memory", () => {
    const cases = [
        {
            name: "requests memory from one member at a time",
            events: [planned("ab")],
            phase: "allocating",
            actions: ["allocate"],
        },
        {
            name: "starts when all members have granted their memory",
            events: [planned("ab"), allocated("a"), allocated("b")],
            phase: "running",
            actions: ["startPrefill"],
        },
        {
            name: "releases the held memory before it waits",
            events: [planned("ab"), allocated("a"), refused("b")],
            phase: "waiting",
            actions: ["release", "planAgain"],
        },
        {
            name: "waits without a plan",
            events: [{ kind: "planned", members: undefined }] as GangEvent[],
            phase: "waiting",
            actions: ["planAgain"],
        },
        {
            name: "releases a late grant of an abandoned plan",
            events: [planned("ab"), refused("a"), allocated("a")],
            phase: "waiting",
            actions: ["release"],
        },
        {
            name: "releases the other members when one fails",
            events: [planned("ab"), allocated("a"), allocated("b"), failed("b")],
            phase: "waiting",
            actions: ["release", "planAgain"],
        },
        {
            name: "releases everything after the answer",
            events: [planned("a"), allocated("a"), { kind: "answered" }] as GangEvent[],
            phase: "finished",
            actions: ["release"],
        },
    ];
    it.each(cases)("$name", ({ events, phase, actions }) => {
        const step = runEvents(events);
        expect(step.attempt.phase).toBe(phase);
        expect(step.actions.map(action => action.kind)).toEqual(actions);
    });

    it("fails when the prefill can no longer start in time", () => {
        const step = advanceGang(create(), { kind: "planned", members: undefined }, 9_990, 0.5);
        expect(step.actions.map(action => action.kind)).toEqual(["fail"]);
    });
});

/** Hosts step in random order; each endpoint has capacity for one gang. A running gang holds its members for 20 steps. */
describe("competing gangs all finish, without deadlock or livelock", () => {
    it.each([1, 2, 3, 4, 5])("seed %i", seed => {
        let random = createRandomState(seed);
        const generateFraction = (): number => {
            const { values, next } = generateFractions(random, 1);
            random = next;
            return values[0] ?? 0;
        };
        const owners = new Map<string, number>();
        const plans = ["abc", "bcd", "acd", "abd", "abcd", "cd"];
        const hosts = plans.map((plan, id) => ({
            id,
            plan,
            attempt: createGangAttempt(toRequestId(`r${id}`), 0, 60_000),
            remainingSteps: 20,
        }));
        const apply = (host: (typeof hosts)[number], event: GangEvent, now: number): void => {
            const step = advanceGang(host.attempt, event, now, generateFraction());
            host.attempt = step.attempt;
            for (const action of step.actions) {
                if (action.kind === "release") {
                    action.members.filter(member => owners.get(member.endpoint) === host.id)
                        .forEach(member => owners.delete(member.endpoint));
                }
            }
        };
        for (let now = 0; now < 60_000 && hosts.some(host => host.attempt.phase !== "finished"); now += 1) {
            const host = hosts[Math.floor(generateFraction() * hosts.length)]!;
            const { attempt } = host;
            if (attempt.phase === "waiting" && attempt.notBeforeMs <= now) {
                apply(host, planned(host.plan), now);
            }
            else if (attempt.phase === "allocating") {
                const next = attempt.members[attempt.allocated]!.endpoint;
                const isFree = !owners.has(next);
                if (isFree) {
                    owners.set(next, host.id);
                }
                apply(host, isFree ? allocated(next) : refused(next), now);
            }
            else if (attempt.phase === "running" && --host.remainingSteps === 0) {
                apply(host, { kind: "answered" }, now);
            }
        }
        expect(hosts.map(host => host.attempt.phase)).toEqual(hosts.map(() => "finished"));
        expect(owners.size).toBe(0);
    });
});
