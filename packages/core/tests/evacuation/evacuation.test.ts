import { toFailureDomainId, toPoolId, toRevision, toTicketNumber } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    canServeOutsideEvacuations,
    checkEvacuations,
    computeNextTicketNumber,
    type Configuration,
    type ConfigurationObject,
    decideInFlight,
    decideLending,
    type DomainState,
    emptyConfiguration,
    listEvacuatedDomains,
    type LocalStops,
    planDomainChange,
    planTicket,
    type Ticket,
    trackReclaims,
} from "../../src/index.js";
import { buildEndpoint, buildPool, buildWorkspace } from "../builders.js";
import { createView } from "../createView.js";

const domainId = toFailureDomainId;
const ticketNumber = toTicketNumber;
const buildDomain = (name: string, state: DomainState = "evacuated"): ConfigurationObject => ({
    kind: "domain",
    name: domainId(name),
    state,
});
const buildTicket = (number: number, ...entries: [replaces: number, body: ConfigurationObject][]): Ticket => ({
    number: ticketNumber(number),
    summary: `t${number}`,
    objects: entries.map(([replaces, body]) => ({ replaces: ticketNumber(replaces), body })),
    removals: [],
});
const apply = (configuration: Configuration, ticket: Ticket): Configuration => {
    const plan = planTicket(configuration, ticket);
    if (!plan.ok) {
        throw new Error(JSON.stringify(plan.findings));
    }
    return plan.next;
};
const endpoints = apply(
    emptyConfiguration,
    buildTicket(
        1,
        [0, buildWorkspace("desk")],
        [0, buildPool("models", "desk")],
        [0, buildEndpoint("e1")],
        [0, buildEndpoint("e2", { failureDomain: domainId("b") })],
    ),
);
const evacuated = apply(endpoints, buildTicket(2, [0, buildDomain("a")]));

describe("listEvacuatedDomains guards against requests to a domain whose object is not understood", () => {
    it.each([
        { name: "evacuated", stored: { ticket: 2, body: buildDomain("a") }, expected: ["a"] },
        { name: "returned", stored: { ticket: 2, body: buildDomain("a", "in_service") }, expected: [] },
        { name: "unknown state", stored: { ticket: 2, body: { ...buildDomain("a"), state: "half" } }, expected: ["a"] },
        { name: "body of another kind", stored: { ticket: 2, body: buildPool("a", "desk") }, expected: ["a"] },
        { name: "body without fields", stored: { ticket: 2, body: {} }, expected: ["a"] },
        { name: "no body", stored: { ticket: 2 }, expected: ["a"] },
    ])("$name", ({ stored, expected }) => {
        const objects = { ...endpoints.objects, "domain/a": stored } as unknown as Configuration["objects"];
        const configuration = { revision: toRevision(2), objects };
        expect([...listEvacuatedDomains(configuration)]).toEqual(expected);
        // Tickets about other objects stay possible, and so does the return.
        expect(planTicket(configuration, buildTicket(3, [1, buildPool("models", "desk")])).ok).toBe(true);
        expect(planTicket(configuration, buildTicket(3, [2, buildDomain("a", "in_service")])).ok).toBe(true);
    });
});

describe("decideLending guards against new work in an evacuated domain, and against work cut off by an evacuation", () => {
    const now = { wallMs: 0, monotonicMs: 0 };
    const stop = { kind: "stop", endpoint: "e1", lendEpoch: 1, reason: "r" };
    const stops = { e1: stop } as unknown as LocalStops;
    it.each(
        [
            { name: "evacuated", domains: ["a"], stops: {}, lending: "lent", reason: "evacuated", action: "continue" },
            { name: "other domain", domains: ["b"], stops: {}, lending: "lent", reason: undefined, action: "continue" },
            {
                name: "two domains",
                domains: ["b", "a"],
                stops: {},
                lending: "lent",
                reason: "evacuated",
                action: "continue",
            },
            // The owner's reasons keep their grace period.
            {
                name: "and reclaimed",
                domains: ["a"],
                stops: {},
                lending: "reclaimed",
                reason: "reclaimed",
                action: "move",
            },
            { name: "and stopped", domains: ["a"], stops, lending: "lent", reason: "stopped", action: "move" },
        ] as const,
    )("$name", ({ domains, stops, lending, reason, action }) => {
        const endpoint = buildEndpoint("e1", { lending });
        const decision = decideLending(
            endpoint,
            new Set(domains.map(domainId)),
            stops,
            { confirmedAt: now },
            undefined,
            now,
        );
        expect(decision.usable ? undefined : decision.reason).toBe(reason);
        const times = trackReclaims({}, new Map([[endpoint.name, decision]]), now);
        const work = { expectedMs: 60_000, movable: true };
        expect(decideInFlight(endpoint, times, work, now)).toBe(action);
    });
});

describe("planTicket guards against domain tickets that ignore one another", () => {
    it.each([
        { name: "second evacuation", ticket: buildTicket(3, [0, buildDomain("a")]), names: ["ticket 3", "ticket 2"] },
        {
            name: "late evacuation after a return",
            from: apply(evacuated, buildTicket(4, [2, buildDomain("a", "in_service")])),
            ticket: buildTicket(3, [0, buildDomain("a")]),
            names: ["ticket 3", "ticket 4"],
        },
        { name: "return", ticket: buildTicket(3, [2, buildDomain("a", "in_service")]), names: undefined },
        { name: "another domain", ticket: buildTicket(3, [0, buildDomain("b")]), names: undefined },
    ])("$name", ({ from = evacuated, ticket, names }) => {
        const plan = planTicket(from, ticket);
        const text = plan.ok ? "" : plan.findings.map(({ source, expected }) => `${source} ${expected}`).join();
        expect(plan.ok ? undefined : plan.code).toBe(names === undefined ? undefined : "conflict");
        names?.forEach(name => expect(text).toContain(name));
    });

    it.each([
        { name: "same content", summary: "t2", appliedAs: 2 },
        { name: "other content", summary: "other", appliedAs: undefined },
    ])("answers a number that is taken: $name", ({ summary, appliedAs }) => {
        const ticket = buildTicket(2, [0, buildDomain("a")]);
        const row = { ticket, revision: toRevision(2), attempt: "x" as never, appliedAtMs: 0 };
        const plan = planTicket(evacuated, { ...ticket, summary }, row);
        expect(plan.ok ? plan.appliedAs : plan.findings[0]?.expected).toEqual(
            appliedAs ?? expect.stringContaining("ticket 2"),
        );
    });
});

describe("checkEvacuations guards against an evacuation that nobody notices is wrong", () => {
    const removeE1: Ticket = {
        ...buildTicket(5),
        removals: [{ kind: "endpoint", name: "e1", replaces: ticketNumber(1) }],
    };
    const both = apply(evacuated, buildTicket(4, [0, buildDomain("b")]));
    it.each([
        { name: "known domain", from: endpoints, ticket: buildTicket(5, [0, buildDomain("a")]), paths: [] },
        {
            name: "no endpoint in it",
            from: endpoints,
            ticket: buildTicket(5, [0, buildDomain("x")]),
            paths: ["domain/x"],
        },
        {
            name: "return of it",
            from: endpoints,
            ticket: buildTicket(5, [0, buildDomain("x", "in_service")]),
            paths: [],
        },
        { name: "last domain", from: evacuated, ticket: buildTicket(5, [0, buildDomain("b")]), paths: ["domain"] },
        { name: "last endpoint removed", from: evacuated, ticket: removeE1, paths: ["domain/a"] },
        {
            name: "finding known before",
            from: both,
            ticket: buildTicket(5, [1, buildPool("models", "desk")]),
            paths: [],
        },
    ])("$name", ({ from, ticket, paths }) => {
        const plan = planTicket(from, ticket);
        expect(plan.ok ? plan.warnings.map(({ source, path }) => [source, path]) : plan).toEqual(
            paths.map(path => ["ticket 5", path]),
        );
    });

    it("names the domains that have endpoints", () => {
        const configuration = apply(endpoints, buildTicket(2, [0, buildDomain("x")]));
        expect(checkEvacuations(configuration, "s").map(({ expected }) => expected)).toEqual(["one of a, b"]);
    });
});

describe("planDomainChange guards against a repeated or late command that undoes another one", () => {
    const know = (state: DomainState, ticket: number, nextTicket = 9) => ({
        state,
        ticket: ticketNumber(ticket),
        nextTicket: ticketNumber(nextTicket),
    });
    const refuse = (number: number, replaces: number) => ({
        number: ticketNumber(number),
        replaces: ticketNumber(replaces),
    });
    it.each([
        { name: "first evacuation", known: know("in_service", 0), expected: { number: 9, replaces: 0 } },
        { name: "evacuation after a return", known: know("in_service", 4), expected: { number: 9, replaces: 4 } },
        { name: "given number", known: know("in_service", 0), number: 30, expected: { number: 30, replaces: 0 } },
        { name: "repeated", known: know("evacuated", 5), expected: "done" },
        { name: "repeated with a number", known: know("evacuated", 5), number: 30, expected: "done" },
        {
            name: "number taken, and still suggested",
            known: know("in_service", 0),
            refused: refuse(9, 0),
            expected: { number: 10, replaces: 0 },
        },
        {
            name: "number taken, a higher one suggested",
            known: know("in_service", 0, 14),
            refused: refuse(9, 0),
            expected: { number: 14, replaces: 0 },
        },
        {
            name: "given number taken",
            known: know("in_service", 0),
            number: 30,
            refused: refuse(30, 0),
            expected: "conflict",
        },
        { name: "set otherwise since", known: know("in_service", 9), refused: refuse(9, 0), expected: "conflict" },
        { name: "set as requested since", known: know("evacuated", 9), refused: refuse(9, 0), expected: "done" },
    ])("$name", ({ known, number, refused, expected }) => {
        const plan = planDomainChange(
            {
                domain: domainId("a"),
                state: "evacuated",
                reason: "power",
                number: number === undefined ? undefined : ticketNumber(number),
            },
            known,
            refused,
        );
        const ticket = plan.kind === "apply" ? plan.ticket : undefined;
        expect(ticket === undefined ? plan.kind : { number: ticket.number, replaces: ticket.objects[0]?.replaces })
            .toEqual(expected);
        expect(ticket?.summary ?? "Evacuate failure domain a: power").toBe("Evacuate failure domain a: power");
    });

    it.each([
        { configuration: emptyConfiguration, newest: undefined, expected: 1 },
        { configuration: evacuated, newest: undefined, expected: 3 },
        // The newest ticket has only removed objects.
        { configuration: evacuated, newest: 7, expected: 8 },
    ])("computes the next number $expected", ({ configuration, newest, expected }) => {
        expect(computeNextTicketNumber(configuration, newest === undefined ? undefined : ticketNumber(newest)))
            .toBe(expected);
    });
});

describe("canServeOutsideEvacuations guards against prompts that wait for endpoints that stay evacuated", () => {
    const inDomain = (name: string, domain: string) =>
        createView(name, { failureDomain: domainId(domain), memoryTokens: 100, pool: toPoolId("p") });
    const views = [inDomain("e1", "a"), inDomain("e2", "b")];
    it.each([
        { name: "none evacuated, too large", domains: [], needed: 300, expected: true },
        { name: "fits in the rest", domains: ["a"], needed: 100, expected: true },
        { name: "too large for the rest", domains: ["a"], needed: 101, expected: false },
        { name: "all evacuated", domains: ["a", "b"], needed: 1, expected: false },
        { name: "a domain without endpoints of the prompt", domains: ["c"], needed: 300, expected: true },
    ])("$name", ({ domains, needed, expected }) => {
        expect(canServeOutsideEvacuations(views, new Set(domains.map(domainId)), needed)).toBe(expected);
    });
});
