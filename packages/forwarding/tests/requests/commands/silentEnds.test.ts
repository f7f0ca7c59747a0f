/** Attempts at silent endpoints: each end, beside the next attempt, between two attempts and alone. */
import { toServiceId } from "@currantrill/protocol";
import { request } from "undici";
import { afterEach, describe, expect, it, vi } from "vitest";
import { toPartSuspect } from "../../../src/quarantine/model/suspect.js";
import { engine } from "../../engineFixture.js";
import {
    beginStream,
    createRoute,
    type EndpointScript,
    endStream,
    formatEvent,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    waitUntil,
    writeAnswer,
    writeChunk,
} from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(() => Promise.all(closers.splice(0).map(close => close())));

const start = async (id: string, script: EndpointScript): Promise<TestEndpoint> => {
    const endpoint = await startEndpoint(id, script);
    closers.push(endpoint.close);
    return endpoint;
};
const delay = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
const refuse: EndpointScript = (prompt, socket) => writeAnswer(socket, prompt, 503, "", "t-not-run: 1\r\n");
const mute: EndpointScript = () => undefined;

/** How the exchange stands when the end comes. */
type Phase = "beside" | "between" | "alone";
type End = "stop" | "caller" | "deadline" | "isolation" | "silent breaks" | "silent resumes";

const phases: readonly Phase[] = ["beside", "between", "alone"];
const ends: readonly End[] = ["stop", "caller", "deadline", "isolation", "silent breaks", "silent resumes"];

describe("a stream with a silent endpoint ends once, and ends its attempts", () => {
    it.each(
        phases.flatMap(phase => ends.flatMap(end => [0, 1].map(eventsBefore => ({ phase, end, eventsBefore })))),
    )("$phase, $end, $eventsBefore events before", async ({ phase, end, eventsBefore }) => {
        const errors: unknown[] = [];
        const record = (error: unknown): void => void errors.push(error);
        process.on("uncaughtExceptionMonitor", record);
        let breakOff = (): void => undefined;
        let goOn = (): void => undefined;
        const silent = await start("silent", (prompt, socket) => {
            silent.isSilent = true;
            if (eventsBefore === 1) {
                beginStream(socket, prompt);
                writeChunk(socket, formatEvent(1));
            }
            breakOff = () => void socket.resetAndDestroy();
            goOn = () => {
                if (eventsBefore === 0) {
                    beginStream(socket, prompt);
                    writeChunk(socket, formatEvent(1));
                }
                writeChunk(socket, formatEvent(2));
                setTimeout(() => endStream(socket), 100);
            };
        });
        const route = createRoute({
            kind: "stream",
            canResume: true,
            timeoutMs: end === "deadline" ? 2_000 : 12_000,
            targetPauseMs: 250,
        });
        const host: TestHost = await startTestHost([route], [silent], { graceMs: 2_000 });
        closers.push(() => host.host.drain());
        host.configure({ services: [{ name: toServiceId("desk"), engine }] });
        const { context } = host.host;
        await waitUntil(() => context.getConfiguration()?.services.get(toServiceId("desk"))?.engine !== undefined);
        const abort = new AbortController();
        const replied = request(`${host.url}/r/x`, {
            headers: { "host": "desk.example", "t-id": "q", "t-parts": "p" },
            signal: abort.signal,
        }).then(async reply => ({ status: reply.statusCode, text: await reply.body.text() }))
            .catch((error: unknown) => ({ status: 0, text: String(error) }));
        await waitUntil(() => silent.received.length === 1);
        const admitNow = context.quarantine.admit;
        const admit = vi.spyOn(context.quarantine, "admit");
        if (phase === "between") {
            admit.mockImplementation(async tracked => {
                await delay(1_700);
                return admitNow(tracked);
            });
        }
        const other = await start("other", phase === "alone" ? refuse : mute);
        host.publish(other);
        const hasPhase = (): boolean => phase === "between" ? admit.mock.calls.length > 0 : other.received.length === 1;
        await waitUntil(hasPhase);
        await delay(100);
        if (end === "stop") {
            void host.host.drain();
            await delay(1_900);
        }
        else if (end === "caller") {
            abort.abort();
        }
        else if (end === "isolation") {
            const entry = {
                service: toServiceId("desk"),
                suspect: toPartSuspect("p"),
                revision: 1,
                isIsolated: true,
                changedAtMs: performance.now(),
                trials: 0,
            };
            context.quarantine.merge({ reports: [], answers: [], entries: [entry] }, performance.now());
        }
        else if (end === "silent breaks") {
            breakOff();
        }
        else if (end === "silent resumes") {
            goOn();
        }
        const hasEnded = (): boolean => host.logged.some(line => line["msg"] === "requests: ended");
        await Promise.race([waitUntil(hasEnded), delay(4_500)]);
        const wasBeside = phase === "beside" && end === "silent breaks";
        if (wasBeside) {
            expect(hasEnded()).toBe(false);
            abort.abort();
            await waitUntil(hasEnded);
        }
        // Bytes after the end must not reach the response.
        goOn();
        await delay(phase === "between" ? 1_800 : 200);
        const reply = await replied;
        const lines = host.logged.filter(line => line["msg"] === "requests: ended");
        const shown = JSON.stringify({ reply, lines });
        expect(lines.length, shown).toBe(1);
        expect(errors).toEqual([]);
        expect(context.exchanges.size).toBe(0);
        expect(context.assignmentRegistry.listLocal()).toEqual([]);
        const attempts = lines[0]?.["attempts"] as { outcome: string; }[];
        expect(attempts.some(({ outcome }) => outcome === "pending"), shown).toBe(false);
        expect(reply.status, shown).not.toBe(503);
        if (end === "silent resumes") {
            expect(reply, shown).toEqual({ status: 200, text: formatEvent(1) + formatEvent(2) });
        }
        else {
            expect(silent.closed, shown).toBeGreaterThan(0);
        }
        process.off("uncaughtExceptionMonitor", record);
    }, 30_000);
});

describe("a silent endpoint that has gone", () => {
    // Guards against a caller that waits until its time limit because the endpoint still answered its only probe.
    it("has answered a probe before", async () => {
        const silent = await start("silent", () => {
            setTimeout(() => {
                silent.isSilent = true;
            }, 500);
        });
        const other = await start("other", refuse);
        const route = createRoute({ kind: "stream", canResume: true, timeoutMs: 12_000, targetPauseMs: 250 });
        const host = await startTestHost([route], [silent]);
        closers.push(() => host.host.drain());
        host.configure({ services: [{ name: toServiceId("desk"), engine }] });
        const { context } = host.host;
        await waitUntil(() => context.getConfiguration()?.services.get(toServiceId("desk"))?.engine !== undefined);
        const replied = request(`${host.url}/r/x`, { headers: { "host": "desk.example", "t-id": "q" } });
        await waitUntil(() => silent.received.length === 1);
        host.publish(other);
        const { statusCode } = await replied;
        const line = host.logged.find(each => each["msg"] === "requests: ended");
        expect(line?.["durationMs"], JSON.stringify({ statusCode, line })).toBeLessThan(9_000);
    });

    // Guards against a crash that the quarantine does not learn of, because the attempt was the silent one.
    it.each([{ name: "alone", script: refuse }, { name: "beside the next one", script: mute }])(
        "is reported if it crashes: $name",
        async ({ script }) => {
            const silent = await start("silent", (_prompt, socket) => {
                silent.isSilent = true;
                setTimeout(() => socket.resetAndDestroy(), 1_500);
            });
            const other = await start("other", script);
            const route = createRoute({ kind: "stream", canResume: true, timeoutMs: 3_000, targetPauseMs: 250 });
            const host = await startTestHost([route], [silent]);
            closers.push(() => host.host.drain());
            host.configure({ services: [{ name: toServiceId("desk"), engine }] });
            const { context } = host.host;
            await waitUntil(() => context.getConfiguration()?.services.get(toServiceId("desk"))?.engine !== undefined);
            const reportBreak = vi.spyOn(context.quarantine, "reportBreak");
            const replied = request(`${host.url}/r/x`, { headers: { "host": "desk.example", "t-id": "q" } });
            await waitUntil(() => silent.received.length === 1);
            host.publish(other);
            await replied;
            expect(reportBreak.mock.calls.map(([endpoint]) => endpoint.entry.id)).toContain("silent");
        },
    );
});
