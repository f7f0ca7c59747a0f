/** Starts stand-ins for the platform, engines and services, and hosts, all in the test process. */
import { readServerSentEvents, requestJson } from "@currantrill/http";
import type { FaultRequest, Ledger } from "@currantrill/protocol";
import { parseHostSettings } from "@currantrill/settings";
import { serveEngine, servePlatform, serveService } from "@currantrill/standins";
import { createHash } from "node:crypto";
import { createServer } from "node:net";
import { stringify } from "smol-toml";
import { request } from "undici";
import { vi } from "vitest";
import { type RunningHost, startHost } from "../../src/startHost.js";

type Standin = Awaited<ReturnType<typeof serveEngine>>;

export const OPERATOR_KEY = "test-operator-key";
const WORKSPACE_KEY = "test-workspace-key";
export const callerHeaders = { authorization: `Bearer ${WORKSPACE_KEY}` };

export interface TestSystemOptions {
    /** Number of engines; 1 by default, as for services and hosts. */
    readonly engines?: number;
    readonly services?: number;
    readonly hosts?: number;
    readonly engineOptions?: Partial<Parameters<typeof serveEngine>[0]>;
    /** Host settings by section, which replace the defaults. */
    readonly settings?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
}

export interface TestHost {
    readonly running: RunningHost;
    readonly url: string;
    readonly operatorUrl: string;
}

export interface TestSystem {
    readonly platform: Standin;
    readonly engines: readonly Standin[];
    readonly services: readonly Standin[];
    readonly hosts: readonly TestHost[];
    /** Applies a ticket with the given sections and waits until every host has adopted it. */
    applyTicket(sections: Readonly<Record<string, unknown>>): Promise<void>;
    /** Drains the hosts, then stops the stand-ins. */
    stop(): Promise<void>;
}

/** Starts a system whose first ticket lets one workspace use all engines and services. */
export async function startTestSystem(options: TestSystemOptions = {}): Promise<TestSystem> {
    const platform = await servePlatform();
    const engines = await Promise.all(Array.from({ length: options.engines ?? 1 }, (_unused, index) =>
        serveEngine({
            endpointId: `engine-${index}`,
            models: [{ name: "model", version: "1" }],
            ...options.engineOptions,
        })));
    const services = await Promise.all(Array.from({ length: options.services ?? 1 }, () => serveService()));
    const hosts = await startHosts(options, getUrl(platform));
    let revision = 0;
    const applyTicket = async (sections: Readonly<Record<string, unknown>>): Promise<void> => {
        revision += 1;
        const text = stringify({ ticket: revision, summary: "test", ...sections });
        const response = await requestJson(`${hosts[0]?.operatorUrl ?? ""}/admin/tickets`, {
            method: "POST",
            headers: { authorization: `Bearer ${OPERATOR_KEY}` },
            body: { text, source: "ticket" },
        });
        if (response.status !== 200) {
            throw new Error(JSON.stringify(response.body));
        }
        await vi.waitUntil(
            () => hosts.every(host => host.running.context.configuration.current.revision >= revision),
            { timeout: 20_000 },
        );
    };
    await applyTicket(buildFirstTicket(engines, services));
    return {
        platform,
        engines,
        services,
        hosts,
        applyTicket,
        stop: async () => {
            await Promise.all(hosts.map(host => host.running.drain()));
            await Promise.all([platform, ...engines, ...services].map(standin => standin.close()));
        },
    };
}

async function startHosts(options: TestSystemOptions, platformUrl: string): Promise<TestHost[]> {
    const hosts: TestHost[] = [];
    for (let index = 0; index < (options.hosts ?? 1); index += 1) {
        const [callers, operators, peers] = await findFreeAddresses(3);
        const parsed = parseHostSettings(
            stringify({
                host_id: `host-${index}`,
                failure_domain: "a",
                operator_key: OPERATOR_KEY,
                listen: { callers, operators, peers },
                platform: { url: platformUrl },
                log_level: process.env["TEST_LOG_LEVEL"] ?? "error",
                ...options.settings,
                limits: { allow_synthetic_prompts: true, ...options.settings?.["limits"] },
                drain: { notice_ms: 0, ...options.settings?.["drain"] },
            }),
            "test settings",
        );
        if (!parsed.ok) {
            throw new Error(JSON.stringify(parsed.findings));
        }
        const running = await startHost(parsed.value);
        hosts.push({ running, url: `http://${callers ?? ""}`, operatorUrl: `http://${operators ?? ""}` });
    }
    return hosts;
}

/** First port of this test worker, below the range from which the operating system takes ephemeral ports. */
const FIRST_PORT = 20_000 + 500 * Number(process.env["VITEST_POOL_ID"] ?? 0);
let nextPort = FIRST_PORT;

/** Finds local addresses with free ports that no other test uses. */
async function findFreeAddresses(count: number): Promise<string[]> {
    const addresses: string[] = [];
    while (addresses.length < count) {
        const port = nextPort;
        nextPort += 1;
        if (await isFreePort(port)) {
            addresses.push(`127.0.0.1:${port}`);
        }
    }
    return addresses;
}

function isFreePort(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

export const buildEngineEndpoint = (index: number, engine: Standin): Record<string, unknown> => ({
    name: `engine-${index}`,
    replaces: 0,
    pool: "models",
    url: getUrl(engine),
    failure_domain: "a",
    memory_tokens: 400_000,
    prefill_tokens_per_second: 500_000,
    decode_tokens_per_second: 200,
});

function buildFirstTicket(engines: readonly Standin[], services: readonly Standin[]): Record<string, unknown> {
    return {
        pools: [
            { name: "models", replaces: 0, owner: "desk", serves: "engine" },
            { name: "servers", replaces: 0, owner: "desk", serves: "service" },
        ],
        endpoints: [
            ...engines.map((engine, index) => buildEngineEndpoint(index, engine)),
            ...services.map((service, index) => ({
                name: `service-${index}`,
                replaces: 0,
                pool: "servers",
                url: getUrl(service),
                failure_domain: "a",
            })),
        ],
        workspaces: [{
            name: "desk",
            replaces: 0,
            key_sha256: createHash("sha256").update(WORKSPACE_KEY).digest("hex"),
            tokens_per_second: 10_000_000,
            burst_tokens: 10_000_000,
            max_concurrent: 1_000,
        }],
        rules: [{ name: "desk", replaces: 0, workspace: "desk", pools: ["models", "servers"] }],
        models: [{
            name: "model",
            replaces: 0,
            version: "1",
            pools: ["models"],
            replicas: 10,
            max_prompt_tokens: 1_048_576,
        }],
        services: [{
            name: "orders",
            replaces: 0,
            pool: "servers",
            operations: [
                { method: "GET", path: "/stock", idempotent: true },
                { method: "PUT", path: "/stock", idempotent: true },
                { method: "POST", path: "/dispatch", idempotent: false },
            ],
        }],
    };
}

export const getUrl = (standin: Standin): string => `http://127.0.0.1:${standin.port}`;

export async function readLedger(standin: Standin): Promise<Ledger> {
    return (await requestJson(`${getUrl(standin)}/ledger`)).body as Ledger;
}

export async function setFault(standin: Standin, fault: FaultRequest): Promise<void> {
    await requestJson(`${getUrl(standin)}/faults`, { method: "POST", body: fault });
}

export interface StreamedAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    /** Data of the server-sent events. */
    readonly events: readonly string[];
}

/** Sends a streamed completion request and reads all events. */
export async function streamCompletion(
    host: TestHost,
    body: Readonly<Record<string, unknown>>,
    onEvent: (data: string) => void = () => undefined,
    headers: Readonly<Record<string, string>> = {},
): Promise<StreamedAnswer> {
    const response = await request(`${host.url}/v1/completions`, {
        method: "POST",
        headers: { ...callerHeaders, "content-type": "application/json", ...headers },
        body: JSON.stringify({ model: "model", prompt: "x", stream: true, ...body }),
    });
    const events: string[] = [];
    for await (const data of readServerSentEvents(response.body)) {
        events.push(data);
        onEvent(data);
    }
    return { status: response.statusCode, headers: response.headers, events };
}

/** Joins the texts of a streamed answer, without its terminator. */
export const joinTokenTexts = (events: readonly string[]): string =>
    events.filter(data => data !== "[DONE]")
        .map(data => (JSON.parse(data) as { choices?: { text?: string; }[]; }).choices?.[0]?.text ?? "")
        .join("");
