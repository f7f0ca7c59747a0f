import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { traceFiles } from "../src/commands/traceFiles.js";
import { exitCodes } from "../src/model/report.js";
import { parseLogLines, traceRequest } from "../src/queries/traceRequest.js";

const at = (second: number): string => `2026-12-04T11:00:${String(second).padStart(2, "0")}.000Z`;
const line = (second: number, host: string, msg: string, fields: object = {}): string =>
    JSON.stringify({ name: "currantrill", host, msg, time: at(second), ...fields });

const text = [
    line(1, "h1", "configuration: in force", { version: 3 }),
    line(20, "h1", "replica: store lost", { table: "op" }),
    line(22, "h2", "endpoints: regained", { endpoint: "e1" }),
    line(22, "h2", "endpoints: regained", { endpoint: "e9" }),
    `  12.5 h1 ${
        line(23, "h1", "requests: ended", { request: "q1", durationMs: 2_000, attempts: [{ endpoint: "e1" }] })
    }`,
    line(23, "h1", "requests: ended", { request: "q2", attempts: [{ endpoint: "e1" }] }),
    line(30, "h1", "host: draining"),
    "Error: not a log line",
    "{\"cut",
].join("\n");

describe("traceRequest", () => {
    // Guards against a trace without the endpoint state change that explains the request's outcome.
    it("selects the request, its endpoints on all hosts, and the state changes of its host", () => {
        expect(traceRequest(parseLogLines(text), "q1").map(found => found.msg)).toEqual([
            "replica: store lost",
            "endpoints: regained",
            "requests: ended",
        ]);
    });
    // Guards against a refusal whose cause was logged by another host, minutes before.
    it("selects why the part was isolated for which a prompt was refused", () => {
        const lines = parseLogLines([
            line(1, "h2", "quarantine: part isolated", { part: "p1", crashes: ["e1@1", "e2@1", "e3@1"] }),
            line(1, "h2", "quarantine: part isolated", { part: "p2" }),
            line(40, "h1", "requests: ended", { request: "q1", isolatedPart: "p1", attempts: [] }),
            line(41, "h1", "quarantine: trial", { part: "p1" }),
        ].join("\n"));
        expect(traceRequest(lines, "q1").map(found => found.msg)).toEqual([
            "quarantine: part isolated",
            "requests: ended",
        ]);
    });
    // Guards against a refusal whose cause is an earlier copy of the request, under another id and at another host.
    it("selects the earlier copies of a request and why it was isolated", () => {
        const lines = parseLogLines([
            line(1, "h2", "requests: ended", { request: "q0", requestDigest: "d1", attempts: [{ endpoint: "e1" }] }),
            line(1, "h2", "quarantine: endpoint crashed", { requestDigest: "d1", endpoint: "e1" }),
            line(2, "h3", "quarantine: request isolated", { requestDigest: "d1", crashes: ["e1@1", "e2@1", "e3@1"] }),
            line(2, "h3", "requests: ended", { request: "q5", requestDigest: "d2", attempts: [] }),
            line(40, "h1", "requests: ended", { request: "q1", isolatedRequest: "d1", attempts: [] }),
        ].join("\n"));
        expect(traceRequest(lines, "q1").map(found => found.msg)).toEqual([
            "requests: ended",
            "quarantine: endpoint crashed",
            "quarantine: request isolated",
            "requests: ended",
        ]);
    });
    it("returns no lines for a request that no line names", () => {
        expect(traceRequest(parseLogLines(text), "q9")).toEqual([]);
    });
});

describe("traceFiles", () => {
    const folder = mkdtempSync(join(tmpdir(), "currantrill-trace-"));
    const file = join(folder, "h1.log");
    writeFileSync(file, text);
    it("reports the lines as text and as data", () => {
        const report = traceFiles("q1", [file]);
        expect(report.exitCode).toBe(exitCodes.done);
        expect(report.text.split("\n")).toHaveLength(3);
        expect(report.text).toContain(`${at(23)} h1 requests: ended request=q1 durationMs=2000`);
        expect(report.data).toMatchObject({ request: "q1", lines: [{}, {}, { request: "q1" }] });
    });
    it.each([["q9", file], ["q1", join(folder, "none.log")]])(
        "reports an unknown request or a missing file as invalid input: %s",
        (request, path) => {
            expect(traceFiles(request, [path]).exitCode).toBe(exitCodes.invalid);
        },
    );
});
