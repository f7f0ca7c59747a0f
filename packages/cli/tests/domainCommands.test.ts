import {
    type Configuration,
    emptyConfiguration,
    findObject,
    planTicket,
    type Ticket,
    type TicketRow,
} from "@currantrill/core";
import { toRevision, toTicketNumber } from "@currantrill/protocol";
import { parseTicket } from "@currantrill/settings";
import { beforeEach, describe, expect, it, vi } from "vitest";
import { describeDomains } from "../src/commands/describeDomains.js";
import { type SetDomainOptions, setDomainState } from "../src/commands/setDomainState.js";
import { exitCodes } from "../src/model/report.js";

interface Answer {
    readonly status: number;
    readonly body: unknown;
}

/** Requests of the commands reach the fake hosts of a test, not the network. */
const { requestJson } = vi.hoisted(() => ({ requestJson: vi.fn() }));
vi.mock("@currantrill/http", () => ({ requestJson }));

let configuration: Configuration;
let rows: Map<number, TicketRow>;
/** Number that the hosts report as free, if not the one that is. */
let staleNextTicket: number | undefined;
/** Replaces the response of a host to one request, by host and path; returning nothing keeps it. */
let intercept: (host: string, path: string, respond: () => Answer) => Answer | undefined;

const fail = (status: number, code: string): Answer => ({
    status,
    body: { error: { code, message: code }, findings: [] },
});

function applyText(text: string): Answer {
    const parsed = parseTicket(text, "t");
    const ticket: Ticket | undefined = parsed.ok ? parsed.value : undefined;
    if (ticket === undefined) {
        return fail(400, "invalid");
    }
    const plan = planTicket(configuration, ticket, rows.get(ticket.number));
    if (!plan.ok) {
        return { status: 409, body: { error: { code: plan.code, message: "m" }, findings: plan.findings } };
    }
    if (plan.appliedAs === undefined) {
        configuration = plan.next;
        rows.set(ticket.number, { ticket, revision: plan.next.revision, attempt: "x" as never, appliedAtMs: 0 });
    }
    const revision = plan.appliedAs ?? plan.next.revision;
    return {
        status: 200,
        body: {
            ticket: ticket.number,
            revision,
            alreadyApplied: plan.appliedAs !== undefined,
            warnings: plan.warnings,
        },
    };
}

function listDomains(): Answer {
    const stored = configuration.objects["domain/a"];
    const domain = findObject(configuration, "domain", "a");
    const domains = stored === undefined
        ? []
        : [{ domain: "a", state: domain?.state, ticket: stored.ticket, hosts: [] }];
    const nextTicket = staleNextTicket ?? Math.max(0, ...rows.keys()) + 1;
    return {
        status: 200,
        body: { source: "platform", revision: configuration.revision, nextTicket, domains, warnings: [] },
    };
}

const setDirectly = (number: number, replaces: number, state: string, summary = "direct"): Answer =>
    applyText(
        `ticket = ${number}\nsummary = "${summary}"\n[[domains]]\nname = "a"\nreplaces = ${replaces}\nstate = "${state}"`,
    );

beforeEach(() => {
    configuration = emptyConfiguration;
    rows = new Map();
    staleNextTicket = undefined;
    intercept = () => undefined;
    requestJson.mockImplementation((url: string, options: { readonly body?: { readonly text: string; }; }) => {
        const { host, pathname } = new URL(url);
        const path = pathname.replace("/admin", "");
        const respond = () => path === "/domains" ? listDomains() : applyText(options.body?.text ?? "");
        return Promise.resolve().then(() => intercept(host, path, respond) ?? respond());
    });
});

const run = async (state: SetDomainOptions["state"] = "evacuated", changes: Partial<SetDomainOptions> = {}) => {
    const report = await setDomainState({
        hosts: ["h1", "h2"],
        key: "k",
        domain: "a",
        state,
        reason: undefined,
        ticket: undefined,
        waitSeconds: 0,
        ...changes,
    });
    return { ...report, outcome: (report.data as { outcome: string; }).outcome };
};
const accepted = { outcome: "accepted", exitCode: exitCodes.done };
const refused = { outcome: "refused", exitCode: exitCodes.refused };
const unreachable = { outcome: "refused", exitCode: exitCodes.unreachable };
const unknown = { outcome: "unknown", exitCode: exitCodes.unknown };
const getState = () => findObject(configuration, "domain", "a")?.state;
const breakConnection = (): never => {
    throw Object.assign(new Error("reset"), { code: "ECONNRESET" });
};
/** Intercepts tickets only, on the host `h1` or on both. */
const onTicket =
    (handle: (respond: () => Answer) => Answer | undefined, isOnBoth = false): typeof intercept =>
    (host, path, respond) => path === "/tickets" && (isOnBoth || host === "h1") ? handle(respond) : undefined;

describe("domain commands guard against a repetition that is not harmless", () => {
    it("applies one ticket for each change, however often it is repeated", async () => {
        expect(await run()).toMatchObject(accepted);
        expect(await run()).toMatchObject({ ...accepted, data: { ticket: 1, alreadyApplied: true } });
        expect(await run("in_service")).toMatchObject({ ...accepted, data: { ticket: 2 } });
        expect(await run("in_service")).toMatchObject(accepted);
        expect(await run("evacuated", { ticket: 40 })).toMatchObject({ ...accepted, data: { ticket: 40 } });
        expect([...rows.keys()]).toEqual([1, 2, 40]);
        expect(getState()).toBe("evacuated");
    });

    it("returns a domain that no ticket has named without a ticket", async () => {
        expect(await run("in_service")).toMatchObject(accepted);
        expect(rows.size).toBe(0);
    });

    it("does not evacuate again after a return, although a host handles the first ticket late", async () => {
        let late: (() => Answer) | undefined;
        intercept = onTicket(respond => {
            late ??= respond;
            return breakConnection();
        });
        expect(await run()).toMatchObject(accepted);
        intercept = () => undefined;
        expect(await run("in_service")).toMatchObject(accepted);
        expect(late?.()).toMatchObject({ status: 200, body: { alreadyApplied: true } });
        expect(getState()).toBe("in_service");
    });
});

describe("domain commands guard against a report that is not true", () => {
    const cases: readonly {
        readonly name: string;
        readonly set: () => void;
        readonly changes?: Partial<SetDomainOptions>;
        readonly expected: object;
        readonly state: string | undefined;
    }[] = [
        {
            name: "the first host fails after it has applied the ticket",
            set: () => {
                intercept = onTicket(respond => {
                    respond();
                    return breakConnection();
                });
            },
            expected: { ...accepted, data: { alreadyApplied: true } },
            state: "evacuated",
        },
        {
            name: "both hosts fail after the ticket was sent",
            set: () => {
                intercept = onTicket(breakConnection, true);
            },
            expected: unknown,
            state: undefined,
        },
        {
            name: "the first host fails after the ticket was sent, and the second one cannot reach the platform",
            set: () => {
                intercept = (host, path) => {
                    if (path !== "/tickets") {
                        return undefined;
                    }
                    return host === "h1" ? breakConnection() : fail(503, "platform_unavailable");
                };
            },
            expected: unknown,
            state: undefined,
        },
        {
            name: "the platform loses the response of the write",
            set: () => {
                intercept = onTicket(respond => {
                    respond();
                    return fail(504, "outcome_unknown");
                });
            },
            expected: unknown,
            state: "evacuated",
        },
        {
            name: "the platform is down before the ticket is sent",
            set: () => {
                const body = { source: "host", revision: 0, domains: [], warnings: [] };
                intercept = (_host, path) => path === "/domains" ? { status: 200, body } : undefined;
            },
            expected: unreachable,
            state: undefined,
        },
        {
            name: "no host is reachable",
            set: () => {
                intercept = () => {
                    throw Object.assign(new Error("refused"), { code: "ECONNREFUSED" });
                };
            },
            expected: unreachable,
            state: undefined,
        },
        {
            name: "a name that no failure domain can have",
            set: () => undefined,
            changes: { domain: "A" },
            expected: { outcome: "refused", exitCode: exitCodes.invalid },
            state: undefined,
        },
        {
            name: "the next number is taken by a ticket that has left no object",
            set: () => {
                setDirectly(1, 0, "in_service");
                staleNextTicket = 1;
            },
            expected: { ...accepted, data: { ticket: 2 } },
            state: "evacuated",
        },
        {
            name: "the given number is taken",
            set: () => {
                setDirectly(1, 0, "in_service");
            },
            changes: { ticket: 1 },
            expected: { ...refused, text: expect.stringMatching(/ticket 1: .*that of ticket 1/s) as string },
            state: "in_service",
        },
        {
            name: "another operator evacuates it at the same time",
            set: () => {
                intercept = onTicket(respond => {
                    intercept = () => undefined;
                    setDirectly(7, 0, "evacuated");
                    return respond();
                });
            },
            expected: { ...accepted, data: { ticket: 7, alreadyApplied: true } },
            state: "evacuated",
        },
        {
            name: "another operator evacuates and returns it at the same time",
            set: () => {
                intercept = onTicket(respond => {
                    intercept = () => undefined;
                    setDirectly(7, 0, "evacuated");
                    setDirectly(8, 7, "in_service");
                    return respond();
                });
            },
            expected: { ...refused, text: expect.stringMatching(/ticket 1: .*ticket 8/s) as string },
            state: "in_service",
        },
    ];
    it.each(cases)("$name", async ({ set, changes, expected, state }) => {
        set();
        expect(await run("evacuated", changes)).toMatchObject(expected);
        expect(getState()).toBe(state);
        if (expected === unknown) {
            intercept = () => undefined;
            expect(await run()).toMatchObject(accepted);
            expect(rows.size).toBe(1);
        }
    });

    it("prints that no endpoint is in the domain", async () => {
        expect((await run()).text).toContain(
            "warning: ticket 1: domain/a: found a failure domain that no endpoint is in",
        );
    });
});

it("domain status guards against hosts that are silently left out", async () => {
    const buildHost = (host: string, state: string, inForce?: boolean) => ({
        host,
        failureDomain: "a",
        state,
        inForce,
    });
    const hosts = [buildHost("h1", "live", true), buildHost("h2", "live", false), buildHost("h3", "suspect")];
    intercept = () => ({
        status: 200,
        body: {
            source: "host",
            revision: toRevision(4),
            domains: [
                { domain: "a", state: "evacuated", ticket: toTicketNumber(3), endpoints: 2, hosts },
                { domain: "b", state: "in_service", ticket: 0, endpoints: 5, hosts: [] },
            ],
            warnings: [{ source: "revision 4", path: "domain", found: "f", expected: "e" }],
        },
    });
    const { text, exitCode } = await describeDomains({ hosts: ["h1"], key: "k" });
    expect(exitCode).toBe(exitCodes.done);
    expect(text.split("\n")).toEqual([
        "configuration revision 4 on the responding host; the platform does not respond, so there may be a newer one",
        "DOMAIN  STATE       TICKET  ENDPOINTS  IN FORCE",
        "a       evacuated   3       2          1 of 2 live hosts",
        "b       in_service  -       5          -",
        "",
        "DOMAIN  HOST  HOST'S DOMAIN  HOST'S STATE  IN FORCE",
        "a       h2    a              live          no",
        "a       h3    a              suspect       unknown",
        "warning: revision 4: domain: found f, expected e",
    ]);
});
