/** Test fixture: starts and closes stand-ins, and sends requests to them. */
import { readServerSentEvents, requestJson } from "@currantrill/http";
import type { FaultRequest, Ledger } from "@currantrill/protocol";
import { request } from "undici";
import { afterEach } from "vitest";
import type { RunningStandin } from "../src/index.js";

const running: RunningStandin[] = [];

afterEach(async () => {
    await Promise.all(running.splice(0).map(standin => standin.close()));
});

/** Registers a stand-in that is closed after the test. Resolves to its URL. */
export async function useStandin(starting: Promise<RunningStandin>): Promise<string> {
    const standin = await starting;
    running.push(standin);
    return `http://127.0.0.1:${standin.port}`;
}

export const postJson = (url: string, body: unknown) => requestJson(url, { method: "POST", body });

export const setFault = (url: string, fault: FaultRequest) => postJson(`${url}/faults`, fault);

export const readLedger = async (url: string): Promise<Ledger> => (await requestJson(`${url}/ledger`)).body as Ledger;

/** Sends a prompt. Resolves to the data of each event, or to `status <code>` if the engine refuses the prompt. */
export async function generate(url: string, fields: Record<string, unknown>): Promise<string[]> {
    const response = await request(`${url}/v1/generate`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
            request_id: "request-0001",
            attempt_id: "attempt-1",
            model: "pond",
            prompt: "",
            prompt_tokens: 100,
            max_tokens: 3,
            ...fields,
        }),
    });
    const events: string[] = [];
    for await (const event of readServerSentEvents(response.body)) {
        events.push(event);
    }
    return response.statusCode === 200 ? events : [`status ${response.statusCode}`];
}

/** Polls until a condition holds; the time limit of the test ends the wait. */
export async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
    while (!await condition()) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}
