import { requestJson } from "@currantrill/http";
import { afterEach, describe, expect, it, vi } from "vitest";
import {
    callerHeaders,
    joinTokenTexts,
    readLedger,
    setFault,
    startTestSystem,
    streamCompletion,
    type TestSystem,
} from "./startTestSystem.js";

const TOKENS = 40;

describe("prompts guard against missing or repeated tokens and incomplete answers", () => {
    let system: TestSystem;
    afterEach(() => system.stop());

    const expectCompleteAnswer = (events: readonly string[], count: number): void => {
        expect(events.at(-1)).toBe("[DONE]");
        const indexes = joinTokenTexts(events).trim().split(" ").map(text => Number(text.split(".")[1]));
        expect(indexes).toEqual(Array.from({ length: count }, (_unused, index) => index));
    };

    it("serves both completion APIs, streamed and not streamed", async () => {
        system = await startTestSystem();
        const [host] = system.hosts;
        const streamed = await streamCompletion(host!, { max_tokens: 5 });
        expectCompleteAnswer(streamed.events, 5);
        const chat = await requestJson(`${host!.url}/v1/chat/completions`, {
            method: "POST",
            headers: callerHeaders,
            body: { model: "model", max_tokens: 3, messages: [{ role: "user", content: "x" }] },
        });
        expect(chat.status).toBe(200);
        expect(chat.headers["x-outcome"]).toBe("answered");
        expect(chat.body).toMatchObject({ usage: { completion_tokens: 3 } });
        const models = await requestJson(`${host!.url}/v1/models`, { headers: callerHeaders });
        expect(models.body).toMatchObject({ data: [{ id: "model" }] });
    });

    it("resumes a stream on another engine when its engine stops", async () => {
        system = await startTestSystem({ engines: 2 });
        const [host] = system.hosts;
        let isStopped = false;
        const answer = await streamCompletion(host!, { max_tokens: TOKENS }, () => {
            if (!isStopped) {
                isStopped = true;
                const [attempt] = host!.running.context.attempts.values();
                const index = Number(attempt!.endpoint.split("-")[1]);
                void system.engines[index]!.close();
            }
        });
        expectCompleteAnswer(answer.events, TOKENS);
    });

    it("closes a connection that becomes unresponsive during a stream and resumes over a new one", async () => {
        system = await startTestSystem({ settings: { progress: { between_tokens_ms: 200 } } });
        const [host] = system.hosts;
        let isFaultInjected = false;
        const answer = await streamCompletion(host!, { max_tokens: TOKENS }, () => {
            if (!isFaultInjected) {
                isFaultInjected = true;
                void setFault(system.engines[0]!, { kind: "silent", durationMs: 60_000 });
            }
        });
        expectCompleteAnswer(answer.events, TOKENS);
    });

    it("cancels the attempt on the engine when the caller disconnects", async () => {
        system = await startTestSystem();
        const [host] = system.hosts;
        await expect(streamCompletion(host!, { max_tokens: 1_000 }, () => {
            throw new Error("the caller disconnects");
        })).rejects.toThrow();
        await vi.waitUntil(
            async () => (await readLedger(system.engines[0]!)).entries.some(entry => entry.outcome === "cancelled"),
            {
                timeout: 10_000,
            },
        );
        expect(host!.running.context.attempts.size).toBe(0);
    });

    it("ends a stream at its deadline with an error event and no terminator", async () => {
        // The engine decodes more slowly than configured; otherwise admission would refuse the prompt.
        system = await startTestSystem({ engineOptions: { decodeTokensPerSecond: 20 } });
        const [host] = system.hosts;
        const headers = { "x-request-timeout-ms": "1500" };
        const answer = await streamCompletion(host!, { max_tokens: 100 }, () => undefined, headers);
        expect(answer.status).toBe(200);
        const last = JSON.parse(answer.events.at(-1)!) as unknown;
        expect(last).toMatchObject({ error: { code: "timeout", outcome: "outcome_unknown" } });
    });

    it("serves a prompt larger than any engine with the memory of several, and releases that memory", async () => {
        system = await startTestSystem({ engines: 3 });
        const [host] = system.hosts;
        const answer = await streamCompletion(host!, { max_tokens: 4, prompt: "", prompt_tokens: 900_000 });
        expectCompleteAnswer(answer.events, 4);
        await vi.waitUntil(async () =>
            (await Promise.all(system.engines.map(readLedger))).every(ledger => ledger.held.length === 0)
        );
    });

    it("finishes a request in flight during a drain", async () => {
        system = await startTestSystem({ settings: { drain: { notice_ms: 100 } } });
        const [host] = system.hosts;
        let drained: Promise<void> | undefined;
        const order: string[] = [];
        const answer = await streamCompletion(host!, { max_tokens: TOKENS }, () => {
            drained ??= host!.running.drain().then(() => void order.push("drained"));
        });
        order.push("answered");
        expectCompleteAnswer(answer.events, TOKENS);
        await drained;
        expect(order).toEqual(["answered", "drained"]);
        await expect(requestJson(`${host!.url}/v1/models`, { headers: callerHeaders })).rejects.toThrow();
    });

    it("refuses a prompt that cannot be answered within its timeout", async () => {
        system = await startTestSystem();
        const [host] = system.hosts;
        const response = await requestJson(`${host!.url}/v1/completions`, {
            method: "POST",
            headers: { ...callerHeaders, "x-request-timeout-ms": "100" },
            body: { model: "model", prompt: "x", max_tokens: 1_000 },
        });
        expect(response.status).toBe(503);
        expect(response.body).toMatchObject({ error: { code: "overloaded", outcome: "not_run" } });
        expect(Number(response.headers["retry-after"])).toBeGreaterThan(0);
    });
});
