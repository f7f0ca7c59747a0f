/** Starts a small deployment on loopback: a store, servers and hosts of the deployed program. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const DEPLOY = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
const TEMPLATE = readFileSync(join(ROOT, "deploy", "settings.toml"), "utf8");

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Returns the time on the monotonic clock of this process, in milliseconds. */
export const now = () => performance.now();

export const hasTrouble = () => process.env.TROUBLE !== "0";

/** Finds free ports. All of them are bound at the same time, so they differ. */
export async function findPorts(count, ip = "127.0.0.1") {
    const servers = await Promise.all(Array.from({ length: count }, () =>
        new Promise((resolve, reject) => {
            const server = createTcpServer();
            server.once("error", reject);
            server.listen(0, ip, () => resolve(server));
        })));
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** In-memory store with the calls of the platform's metadata store that hosts make. */
export function createStore() {
    let rows = new Map();
    let version = 0;
    let oldest = 0;
    let era = 1;
    const set = (table, key, value, part = "") => {
        version += 1;
        rows.set(`${table}\n${part}\n${key}`, { table, part, key, value, version_number: version });
    };
    const list = table => [...rows.values()].filter(row => row.table === table);
    const byVersion = (a, b) => a.version_number - b.version_number;
    const format = row => ({ ...row, tombstone: row.value === undefined });
    const store = {
        /** `up`, `busy` (503) or `silent`. */
        mode: "up",
        delayMs: 4,
        calls: [],
        put: (table, key, value) => set(table, key, Buffer.from(JSON.stringify(value)).toString("base64")),
        putBytes: (table, key, bytes) => set(table, key, Buffer.from(bytes).toString("base64")),
        remove: (table, key) => set(table, key, undefined),
        keys: table => list(table).filter(row => row.value !== undefined).map(row => row.key),
        copy: () => ({ rows: new Map(rows), version }),
        restore: copy => {
            rows = new Map(copy.rows);
            version = copy.version;
            era += 1;
        },
        compact: () => {
            oldest = version;
        },
    };
    const send = (response, status, body) =>
        setTimeout(() => {
            response.writeHead(status, { "content-type": "application/json", "store-era": String(era) });
            response.end(JSON.stringify({ ...body, version_number: version, now_ms: Math.round(now()) }));
        }, store.delayMs);
    const feed = (response, query) => {
        const table = query.get("table");
        const after = Number(query.get("after"));
        const endMs = now() + Number(query.get("wait_ms"));
        const startEra = era;
        const poll = () => {
            if (response.destroyed || store.mode === "silent") {
                return;
            }
            const changed = list(table).filter(row => row.version_number > after).sort(byVersion);
            if (after < oldest || after > version || startEra !== era) {
                send(response, 410, {});
            }
            else if (changed.length > 0 || now() >= endMs) {
                send(response, 200, { rows: changed.map(format) });
            }
            else {
                setTimeout(poll, 5);
            }
        };
        poll();
    };
    const transact = (response, { expected_revision = [], set_keys = [], remove = [] }) => {
        const find = ({ table, part, key }) => rows.get(`${table}\n${part}\n${key}`);
        const getVersion = row => row?.value === undefined ? 0 : row.version_number;
        if (!expected_revision.every(row => getVersion(find(row)) === row.version_number)) {
            send(response, 412, { rows: expected_revision.flatMap(row => find(row) ?? []).map(format) });
            return;
        }
        set_keys.forEach(row => set(row.table, row.key, row.value, row.part));
        remove.forEach(row => set(row.table, row.key, undefined, row.part));
        send(response, 200, {});
    };
    store.handle = (request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const url = new URL(request.url, "http://store");
            store.calls.push({ atMs: now(), path: url.pathname, table: url.searchParams.get("table") });
            if (store.mode === "silent") {
                return;
            }
            if (store.mode === "busy") {
                send(response, 503, {});
                return;
            }
            if (url.pathname === "/-/rows-feed") {
                feed(response, url.searchParams);
                return;
            }
            if (url.pathname === "/-/rows-get") {
                const from = url.searchParams.get("from") ?? "";
                const limit = Number(url.searchParams.get("limit") ?? 500);
                const found = list(url.searchParams.get("table"))
                    .filter(row => row.value !== undefined && row.key >= from)
                    .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
                send(response, 200, { rows: found.slice(0, limit).map(format), has_more: found.length > limit });
                return;
            }
            transact(response, JSON.parse(Buffer.concat(chunks).toString("utf8")));
        });
    };
    return store;
}

/** Renders the template of the settings, as the platform does. Only the placeholders that the template uses. */
export function renderSettings(fields) {
    const get = path => path.split(".").reduce((value, name) => value?.[name], fields);
    return TEMPLATE
        .replace(
            /\{\{#seed_addresses\}\}.*?\{\{\/seed_addresses\}\}/s,
            fields.seed_addresses.map(each => JSON.stringify(each)).join(","),
        )
        .replace(
            /\{\{#([\w.]+)\}\}\n(.*?)\{\{\/\1\}\}\n?/gs,
            (_all, path, inner) => get(path) === undefined ? "" : inner,
        )
        .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, json) => {
            const value = get(path);
            return json === undefined ? String(value ?? "") : JSON.stringify(value);
        });
}

/** Bounds of the small sites. */
export const BOUNDS = {
    drain_ms: 2000,
    grace_period_s: 8,
    retry_budget_ratio: 0.2,
    budget_window_s: 10,
    extra_retries: 100,
    free_ms: 4000,
};

/** Starts hosts and what they use. `close` ends everything that was started. */
export async function startSystem({ hosts: hostCount = 1, zones = ["a"], limits = {}, bounds = {} } = {}) {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const store = createStore();
    const closers = [];
    const [storePort, callersPort, readyPort, peersPort, controlPort] = await findPorts(5);
    const listen = (handle, port, ip = "127.0.0.1") =>
        new Promise((resolve, reject) => {
            const server = createServer({ keepAliveTimeout: 10_000, maxHeaderSize: 65_536 }, handle);
            // All fields of a request, however many there are.
            server.maxHeadersCount = 0;
            server.once("error", reject);
            server.listen(port, ip, () => {
                closers.push(() => {
                    server.closeAllConnections();
                    server.close();
                });
                resolve(server);
            });
        });
    await listen(store.handle, storePort);
    const words = /run = "(.*)"/.exec(DEPLOY)[1].split(" ").slice(1);
    const ips = Array.from({ length: hostCount }, (_, index) => `127.0.0.${11 + index}`);
    const hosts = ips.map((ip, index) => {
        const name = `front-${index + 1}`;
        const file = join(folder, `${name}.toml`);
        let storeAddress = `127.0.0.1:${storePort}`;
        const host = {
            name,
            ip,
            callersPort,
            readyPort,
            metricsPort: controlPort,
            /** Processes that were started, with their output. */
            runs: [],
            get last() {
                return host.runs.at(-1);
            },
            setStoreAddress: address => {
                storeAddress = address;
            },
            start: () => {
                writeFileSync(
                    file,
                    renderSettings({
                        node: name,
                        zone: zones[index % zones.length],
                        ip_address: ip,
                        seed_addresses: ips.slice(0, 3).map(seed => `${seed}:${controlPort}`),
                        listen_addresses: { front: `${ip}:${callersPort}`, ready: `${ip}:${readyPort}` },
                        internal_port_range: [peersPort, peersPort],
                        limits: { cpu_cores: 1, cpu_share: 0.675, file_descriptors: 4200, memory_mb: 350, ...limits },
                        platform: { address: storeAddress },
                        bounds: { ...BOUNDS, ...bounds },
                    }).replace(/^metrics = .*$/m, `metrics = "${ip}:${controlPort}"`),
                );
                const child = spawn(process.execPath, words, {
                    cwd: ROOT,
                    env: { PATH: process.env.PATH, CURRANTRILL_CONFIG: file },
                    stdio: ["ignore", "pipe", "pipe"],
                });
                const run = { child, pid: child.pid, startedAtMs: now(), output: "", exit: undefined };
                const add = chunk => {
                    run.output += chunk.toString();
                };
                child.stdout.on("data", add);
                child.stderr.on("data", add);
                run.ended = new Promise(resolve =>
                    child.once("exit", (code, signal) => {
                        run.exit = { code, signal, atMs: now() };
                        resolve();
                    })
                );
                host.runs.push(run);
                return run;
            },
            signal: signal => {
                if (host.last?.exit === undefined) {
                    host.last.child.kill(signal);
                }
            },
            isReady: async () => {
                try {
                    const answer = await fetch(`http://${ip}:${readyPort}/-/readiness`, {
                        signal: AbortSignal.timeout(800),
                    });
                    await answer.text();
                    return answer.status === 200;
                }
                catch {
                    return false;
                }
            },
            logs: () => host.runs.map(run => run.output).join(""),
        };
        return host;
    });
    return {
        folder,
        store,
        storeAddress: `127.0.0.1:${storePort}`,
        hosts,
        peersPort,
        listen,
        onClose: closer => closers.push(closer),
        waitUntilReady: async (list = hosts, limitMs = 15_000) => {
            const endMs = now() + limitMs;
            while (now() < endMs) {
                if ((await Promise.all(list.map(host => host.isReady()))).every(Boolean)) {
                    return true;
                }
                await sleep(50);
            }
            return false;
        },
        close: async () => {
            for (const host of hosts) {
                for (const run of host.runs.filter(({ exit }) => exit === undefined)) {
                    run.child.kill("SIGCONT");
                    run.child.kill("SIGKILL");
                    await run.ended;
                }
            }
            closers.forEach(closer => closer());
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

/** Engine of the model servers of the small sites. */
export const ENGINE = {
    slots: 11,
    kv_cache_tokens: 232_000,
    stride: 43,
    step_ms: 1.02,
    per_seq_ms: 0.00226,
    context_per_k: 0.00431,
    read_per_s: 206_000,
    pairs_per_m: 0.138,
    chunk: 2048,
    hop_ms: 0.075,
    report_lag_ms: 200,
    usual: { prompt: 5000, answer: 1300 },
};

export const KEY = "key-one";

/** Builds a configuration with a route of each kind. */
export const buildConfiguration = (version, changes = {}) => ({
    version,
    routes: [
        route("safe", "order-desk", { attempts: 2 }),
        route("unsafe", "order-desk", {}),
        route("streaming", "pool", {
            attempts: 2,
            resume_streams: true,
            target_gap_ms: 250,
            timeout_ms: 10_000,
            target_latency_ms: 300,
            session_affinity: true,
        }),
    ],
    services: [{ name: "order-desk", health_check_path: "/health" }, {
        name: "pool",
        health_check_path: "/health",
        engine: ENGINE,
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5_000, idle_timeout_ms: 10_000 },
    tenants: [{ name: "tenant-one", api_keys: [KEY] }, { name: "tenant-two", api_keys: ["key-two"] }],
    ...changes,
});

export const route = (kind, service, more) => ({
    name: kind,
    host: "desk.example",
    prefix: `/${kind}/`,
    kind,
    service,
    timeout_ms: 3_000,
    target_latency_ms: 121,
    priority: 1,
    attempts: 1,
    ...more,
});

/** Describes a server as it registers itself. */
export const buildEntry = (service, address, more = {}) => ({
    service,
    address,
    zone: "a",
    version: "1",
    slots: 11,
    state: "ready",
    cold_remaining_ms: 0,
    sequence_number: 0,
    born: Date.now(),
    ...more,
});
