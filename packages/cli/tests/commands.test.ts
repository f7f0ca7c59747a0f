import { type RunningServer, sendJson, serveHttp } from "@currantrill/http";
import { toFailureDomainId, toTicketNumber } from "@currantrill/protocol";
import { formatTicket, parseTicket } from "@currantrill/settings";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { checkFiles } from "../src/commands/checkFiles.js";
import { listHosts } from "../src/commands/listHosts.js";
import { applyTicketText } from "../src/commands/runTicketCommands.js";
import { exitCodes } from "../src/model/report.js";
import { formatTable } from "../src/queries/formatTable.js";

const EXAMPLES = join(import.meta.dirname, "..", "..", "..", "examples", "lilybrook", "tickets");
const UNREACHABLE_ADDRESS = "127.0.0.1:1";

describe("exit codes guard against a script that treats a failure as a success", () => {
    let server: RunningServer;
    let answer: { status: number; code: string; };
    let closesConnection = false;
    beforeAll(async () => {
        server = await serveHttp({
            host: "127.0.0.1",
            port: 0,
            routes: [{
                method: "ALL",
                path: "*",
                handle: (_request, response) => {
                    if (closesConnection) {
                        response.socket?.destroy();
                        return;
                    }
                    const body = { error: { code: answer.code, message: "m" }, findings: [] };
                    sendJson(
                        response,
                        answer.status,
                        answer.status === 200 ? { ticket: 1, revision: 1, hosts: [] } : body,
                    );
                },
            }],
        });
    });
    afterAll(() => server.close());

    const address = () => `127.0.0.1:${server.port}`;
    const apply = (hosts: readonly string[]) => applyTicketText({ hosts, key: "k", waitSeconds: 0 }, "", "t");

    it.each([
        { status: 200, code: "", exitCode: exitCodes.done },
        { status: 400, code: "invalid", exitCode: exitCodes.invalid },
        { status: 401, code: "unknown_operator", exitCode: exitCodes.refused },
        { status: 409, code: "conflict", exitCode: exitCodes.refused },
        { status: 503, code: "platform_unavailable", exitCode: exitCodes.unreachable },
        { status: 504, code: "outcome_unknown", exitCode: exitCodes.unknown },
    ])("$status $code is $exitCode", async ({ status, code, exitCode }) => {
        answer = { status, code };
        expect((await apply([address()])).exitCode).toBe(exitCode);
    });

    it("tries the next host if one is unreachable", async () => {
        answer = { status: 200, code: "" };
        expect((await listHosts({ hosts: [UNREACHABLE_ADDRESS, address()], key: "k" })).exitCode).toBe(exitCodes.done);
        expect((await apply([UNREACHABLE_ADDRESS])).exitCode).toBe(exitCodes.unreachable);
    });

    it("reports an unknown outcome if the connection closes after a ticket was sent", async () => {
        closesConnection = true;
        expect((await apply([address()])).exitCode).toBe(exitCodes.unknown);
        expect((await listHosts({ hosts: [address()], key: "k" })).exitCode).toBe(exitCodes.unreachable);
    });
});

describe("checkFiles guards against a missing file that is not reported", () => {
    it.each([
        { file: join(EXAMPLES, "2-endpoints.toml"), exitCode: exitCodes.done },
        { file: "no-such-file.toml", exitCode: exitCodes.invalid },
    ])("$file", ({ file, exitCode }) => {
        expect(checkFiles("ticket", [file]).exitCode).toBe(exitCode);
    });
});

it("formatTicket guards against a reclaim that changes other fields of the endpoint", () => {
    const names = ["1-workspaces-and-pools.toml", "2-endpoints.toml", "3-models-service-and-rules.toml"];
    for (const name of names) {
        const parsed = parseTicket(readFileSync(join(EXAMPLES, name), "utf8"), name);
        const ticket = parsed.ok ? parsed.value : undefined;
        expect(parseTicket(formatTicket(ticket!), name)).toEqual({ ok: true, value: ticket });
    }
    const domain = { kind: "domain", name: toFailureDomainId("a"), state: "evacuated" } as const;
    const objects = [{ replaces: toTicketNumber(1), body: domain }];
    const evacuation = { number: toTicketNumber(2), summary: "s", objects, removals: [] };
    expect(parseTicket(formatTicket(evacuation), "t")).toEqual({ ok: true, value: evacuation });
    const removal = { kind: "pool", name: "p", replaces: toTicketNumber(1) } as const;
    const ticket = { number: toTicketNumber(2), summary: "s", objects: [], removals: [removal] };
    expect(parseTicket(formatTicket(ticket), "t")).toEqual({ ok: true, value: ticket });
});

it("formatTable guards against misaligned columns", () => {
    expect(formatTable(["A", "LONG"], [["x", undefined], ["yyy", 2]])).toBe("A    LONG\nx    -\nyyy  2");
});
