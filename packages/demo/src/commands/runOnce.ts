/** Sends the requests of `npm start -- --once` and checks each answer. */
import { readEvents, requestJson } from "@currantrill/http";
import { STREAM_TERMINATOR, type Topology } from "@currantrill/protocol";
import { request } from "undici";
import { DEMO_MODEL } from "./startSystem.js";

const REQUEST_TIMEOUT_MS = 30_000;

interface Check {
    readonly name: string;
    /** Resolves to what went wrong, or to `undefined`. */
    readonly run: (url: string, headers: Readonly<Record<string, string>>) => Promise<string | undefined>;
}

const checks: readonly Check[] = [
    {
        name: "short prompt",
        run: (url, headers) => checkPlain(url, headers, { prompt: "Is water mint hardy?", max_tokens: 8 }),
    },
    { name: "streamed prompt", run: checkStream },
    {
        name: "prompt of 1,000,000 tokens",
        run: (url, headers) => checkPlain(url, headers, { prompt: "", prompt_tokens: 1_000_000, max_tokens: 8 }),
    },
];

/** Runs all checks against the first host. Returns the failures. */
export async function runOnce(topology: Topology): Promise<string[]> {
    const host = topology.processes.find(entry => entry.role === "host");
    const headers = {
        "authorization": `Bearer ${topology.workspaces[0]?.key ?? ""}`,
        "content-type": "application/json",
    };
    const failures: string[] = [];
    for (const check of checks) {
        const failure = await check.run(`http://${host?.address ?? ""}`, headers).catch((error: unknown) =>
            String(error)
        );
        process.stdout.write(
            `${failure === undefined ? "ok    " : "FAILED"} ${check.name}${
                failure === undefined ? "" : `: ${failure}`
            }\n`,
        );
        if (failure !== undefined) {
            failures.push(`${check.name}: ${failure}`);
        }
    }
    return failures;
}

async function checkPlain(
    url: string,
    headers: Readonly<Record<string, string>>,
    body: { max_tokens: number; prompt: string; prompt_tokens?: number; },
): Promise<string | undefined> {
    const response = await requestJson(`${url}/v1/completions`, {
        method: "POST",
        headers,
        body: { model: DEMO_MODEL, ...body },
        timeoutMs: REQUEST_TIMEOUT_MS,
    });
    const usage = (response.body as { usage?: { completion_tokens?: number; }; }).usage;
    return response.status === 200 && usage?.completion_tokens === body.max_tokens
        ? undefined
        : `status ${response.status}, ${JSON.stringify(response.body)}`;
}

async function checkStream(url: string, headers: Readonly<Record<string, string>>): Promise<string | undefined> {
    const response = await request(`${url}/v1/chat/completions`, {
        method: "POST",
        headers,
        body: JSON.stringify({
            model: DEMO_MODEL,
            stream: true,
            max_tokens: 8,
            messages: [{ role: "user", content: "Which plants suit a margin?" }],
        }),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const events: string[] = [];
    for await (const event of readEvents(response.body)) {
        events.push(event);
    }
    return response.statusCode === 200 && events.length === 9 && events.at(-1) === STREAM_TERMINATOR
        ? undefined
        : `status ${response.statusCode}, ${events.length} events, last ${events.at(-1) ?? "none"}`;
}
