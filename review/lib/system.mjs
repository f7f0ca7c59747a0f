// A small deployment on loopback: a store, servers, and hosts that run the command of the deploy file.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

const startedAtMs = performance.now();
const nowMs = () => Math.round((performance.now() - startedAtMs) * 10) / 10;

/** Writes lines with their time in milliseconds to `record.txt` in the current folder. */
export function createRecord() {
    writeFileSync("record.txt", "");
    return text => appendFileSync("record.txt", `${nowMs().toFixed(1).padStart(9)} ms  ${text}\n`);
}

export function findFreePorts(count, ip = "127.0.0.1") {
    return Promise.all(Array.from({ length: count }, () =>
        new Promise((resolve, reject) => {
            const server = createTcpServer();
            server.once("error", reject);
            server.listen(0, ip, () => {
                const { port } = server.address();
                // Held until all ports are chosen, so that they differ.
                setTimeout(() => server.close(() => resolve(port)), 50);
            });
        })));
}

/** The platform's store: tables with a change feed, as in PROTOCOL.md. */
export async function startStore() {
    const state = { rows: new Map(), version: 100, era: 1, waiting: new Set(), isAway: false, calls: 0 };
    const change = (table, key, value) => {
        state.version += 1;
        const row = { table, part: "", key, version_number: state.version };
        state.rows.set(`${table}/${key}`, value === undefined ? { ...row, tombstone: true } : { ...row, value });
        [...state.waiting].forEach(check => check());
    };
    const list = (table, after) =>
        [...state.rows.values()].filter(row => row.table === table && row.version_number > after)
            .sort((a, b) => a.version_number - b.version_number);
    const send = (response, status, body) => {
        response.writeHead(status, { "content-type": "application/json", "store-era": String(state.era) });
        response.end(JSON.stringify({ ...body, version_number: state.version, now_ms: Math.round(performance.now()) }));
    };
    const feed = (response, query) => {
        const table = query.get("table");
        const after = Number(query.get("after"));
        const finish = () => {
            clearTimeout(timer);
            state.waiting.delete(check);
            if (after > state.version) {
                send(response, 410, {});
                return;
            }
            send(response, 200, { rows: list(table, after) });
        };
        const check = () => (after > state.version || list(table, after).length > 0) && finish();
        const timer = setTimeout(finish, Number(query.get("wait_ms") ?? 0));
        state.waiting.add(check);
        check();
    };
    const transact = (response, { expected_revision = [], set_keys = [], remove = [] }) => {
        const getRow = ({ table, key }) => {
            const row = state.rows.get(`${table}/${key}`);
            return row?.value === undefined ? undefined : row;
        };
        if (!expected_revision.every(each => (getRow(each)?.version_number ?? 0) === each.version_number)) {
            send(response, 412, { rows: expected_revision.flatMap(each => getRow(each) ?? []) });
            return;
        }
        set_keys.forEach(({ table, key, value }) => change(table, key, value));
        remove.forEach(({ table, key }) => change(table, key));
        send(response, 200, {});
    };
    const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
        if (state.isAway) {
            request.socket.destroy();
            return;
        }
        state.calls += 1;
        const url = new URL(request.url, "http://store");
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            if (url.pathname === "/-/rows-feed") {
                feed(response, url.searchParams);
                return;
            }
            if (url.pathname === "/-/rows-get") {
                const rows = list(url.searchParams.get("table"), 0).filter(row => row.value !== undefined)
                    .sort((a, b) => a.key < b.key ? -1 : 1);
                send(response, 200, { rows, has_more: false });
                return;
            }
            transact(response, JSON.parse(Buffer.concat(chunks).toString()));
        });
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        state,
        put: (table, key, value) => change(table, key, Buffer.from(JSON.stringify(value)).toString("base64")),
        remove: (table, key) => change(table, key),
        copy: () => ({ rows: new Map(state.rows), version: state.version }),
        /** Closes all connections and accepts none until `restore`. */
        leave: () => {
            state.isAway = true;
            server.closeAllConnections();
        },
        /** Comes back with an older copy; the era rises. */
        restore: copy => {
            state.rows = new Map(copy.rows);
            state.version = copy.version;
            state.era += 1;
            state.isAway = false;
            [...state.waiting].forEach(check => check());
        },
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
}

/** Renders the template that the deploy file names, as DEPLOY.md describes it, for the placeholders in use. */
function renderSettings(fields) {
    const get = (path, scope) => path.split(".").reduce((value, name) => value?.[name], scope);
    const render = (text, scope) =>
        text.replace(
            /\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs,
            (_match, path, inner) =>
                (get(path, scope) ?? []).map((entry, index, all) =>
                    inner.replaceAll("{{.|json}}", JSON.stringify(entry))
                        .replaceAll("{{,}}", index < all.length - 1 ? "," : "")
                ).join(""),
        )
            .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_match, path, json) => {
                const value = get(path, scope);
                return json === undefined ? String(value) : JSON.stringify(value);
            });
    return render(readFileSync("../../deploy/settings.toml", "utf8"), fields);
}

/** Bounds of the small deployments (`sites/lilybrook-ho.toml`). */
export const bounds = {
    retry_budget_ratio: 0.2,
    budget_window_s: 10,
    extra_retries: 100,
    grace_period_s: 8,
    free_ms: 4_000,
};

/** Creates hosts, one on each of 127.0.1.1, 127.0.1.2 and so on. They are started by `start`. */
export async function createHosts({ count, storeAddress, storeAddresses = [], record, zones = ["a", "b", "c"] }) {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const [front, ready, control, internal] = await findFreePorts(4);
    const run = /^run = "(.*)"$/m.exec(readFileSync("../../deploy/system.toml", "utf8"))[1].split(" ");
    const seeds = Array.from({ length: Math.min(3, count) }, (_, index) => `127.0.1.${index + 1}:${control}`);
    let isClosed = false;
    const hosts = Array.from({ length: count }, (_, index) => {
        const ip = `127.0.1.${index + 1}`;
        const name = `front-${index + 1}`;
        const settingsFile = join(folder, `${name}.toml`);
        const text = renderSettings({
            node: name,
            zone: zones[index % zones.length],
            ip_address: ip,
            listen_addresses: { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}` },
            internal_port_range: [internal, internal + 15],
            seed_addresses: seeds,
            limits: { cpu_cores: 1, cpu_share: 0.675 },
            bounds,
            platform: { address: storeAddresses[index] ?? storeAddress },
        });
        writeFileSync(settingsFile, text.replace(`${ip}:7350`, `${ip}:${control}`));
        const host = {
            name,
            ip,
            port: front,
            readyUrl: `http://${ip}:${ready}/-/readiness`,
            child: undefined,
            settingsFile,
            logFile: join(folder, `${name}.log`),
            start: () => {
                const child = spawn(run[0] === "node" ? process.execPath : run[0], run.slice(1), {
                    cwd: "../..",
                    env: { PATH: process.env.PATH, HOME: process.env.HOME, CURRANTRILL_CONFIG: settingsFile },
                    stdio: ["ignore", "pipe", "pipe"],
                });
                host.child = child;
                const writeLog = chunk => isClosed || appendFileSync(host.logFile, chunk);
                child.stdout.on("data", writeLog);
                child.stderr.on("data", writeLog);
                child.once("exit", (code, signal) => {
                    host.child = host.child === child ? undefined : host.child;
                    record(`${name} ended: ${signal ?? `exit code ${code}`}`);
                });
                record(`${name} started`);
            },
            signal: signal => {
                record(`${name} gets ${signal}`);
                host.child?.kill(signal);
            },
            isReady: () =>
                fetch(host.readyUrl, { signal: AbortSignal.timeout(1_000) }).then(
                    reply => reply.status === 200,
                    () => false,
                ),
            waitUntilReady: async () => {
                const endMs = performance.now() + 15_000;
                while (!(await host.isReady())) {
                    if (performance.now() > endMs) {
                        throw new Error(`${name} was not ready in time`);
                    }
                    await sleep(50);
                }
                record(`${name} is ready`);
            },
        };
        return host;
    });
    const close = () => {
        isClosed = true;
        hosts.forEach(host => host.child?.kill("SIGKILL"));
        if (process.env.KEEP !== "1") {
            rmSync(folder, { recursive: true, force: true });
        }
        else {
            console.log(folder);
        }
    };
    return { hosts, close };
}

/** Starts an HTTP server on loopback whose handler gets the request and its whole body. */
export async function startServer(handle, options = {}) {
    const sockets = new Set();
    const server = createServer({ keepAliveTimeout: 60_000, ...options }, (request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => handle(request, response, Buffer.concat(chunks)));
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
    });
    const listen = port => new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
    await listen(0);
    const { port } = server.address();
    return {
        address: `127.0.0.1:${port}`,
        sockets,
        /** Ends as a crashed process does: resets all connections, and listens no more until `reopen`. */
        crash: () => {
            server.close();
            [...sockets].forEach(socket => socket.resetAndDestroy());
        },
        reopen: () => listen(port),
        close: () => {
            server.close();
            [...sockets].forEach(socket => socket.destroy());
        },
    };
}

export const serverEntry = (service, address, zone, more = {}) => ({
    service,
    address,
    zone,
    version: "v1",
    slots: 11,
    state: "ready",
    cold_remaining_ms: 0,
    sequence_number: 0,
    born: Math.round(Date.now() - 60_000),
    ...more,
});

export const route = (name, kind, service, more = {}) => ({
    name,
    host: "review.example",
    prefix: `/${name}/`,
    kind,
    timeout_ms: 10_000,
    target_latency_ms: 300,
    target_gap_ms: 250,
    priority: 1,
    service,
    attempts: kind === "unsafe" ? 1 : 3,
    resume_streams: kind === "streaming",
    ...more,
});

export const configuration = (version, routes, services, more = {}) => ({
    version,
    routes,
    services: services.map(service => typeof service === "string" ? { name: service } : service),
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "t1", api_keys: ["key-1"] }],
    ...more,
});

/** Sends one request on a connection of its own, and resolves with what came back until the answer or the connection ended. */
export function sendRequest({ ip, port, path, id, method = "POST", body = "", headers = {}, deadlineMs = 10_000 }) {
    return new Promise(resolve => {
        const socket = connect(port, ip);
        const chunks = [];
        let error;
        const finish = () => {
            clearTimeout(timer);
            socket.destroy();
            resolve({ ...parseAnswer(Buffer.concat(chunks)), error });
        };
        const timer = setTimeout(() => {
            error = "no answer within the deadline";
            finish();
        }, deadlineMs + 1_500);
        socket.on("connect", () => {
            const lines = Object.entries({
                "Host": "review.example",
                "Request-Id": id,
                "Deadline-Milliseconds": deadlineMs,
                "Authorization": "Bearer key-1",
                "Content-Length": Buffer.byteLength(body),
                ...headers,
            }).map(([name, value]) => `${name}: ${value}\r\n`);
            socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n`);
            socket.write(body);
        });
        socket.on("data", chunk => {
            chunks.push(chunk);
            if (parseAnswer(Buffer.concat(chunks)).isWhole) {
                finish();
            }
        });
        socket.on("error", cause => {
            error = cause.code;
        });
        socket.on("close", () => {
            error ??= "connection closed";
            finish();
        });
    });
}

/** Parses an answer with a length or in chunks. */
function parseAnswer(data) {
    const text = data.toString("latin1");
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return { status: undefined, isWhole: false, body: "" };
    }
    const [statusLine, ...lines] = text.slice(0, headEnd).split("\r\n");
    const headers = Object.fromEntries(
        lines.map(line => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 1).trim()]),
    );
    const status = Number(statusLine.split(" ")[1]);
    const rest = text.slice(headEnd + 4);
    if (headers["transfer-encoding"] === "chunked") {
        let body = "";
        for (let at = 0;;) {
            const lineEnd = rest.indexOf("\r\n", at);
            const length = lineEnd < 0 ? NaN : parseInt(rest.slice(at, lineEnd), 16);
            if (Number.isNaN(length) || rest.length < lineEnd + 2 + length + 2) {
                return { status, headers, body, isWhole: false };
            }
            if (length === 0) {
                return { status, headers, body, isWhole: true };
            }
            body += rest.slice(lineEnd + 2, lineEnd + 2 + length);
            at = lineEnd + 2 + length + 2;
        }
    }
    const length = Number(headers["content-length"] ?? 0);
    return { status, headers, body: rest.slice(0, length), isWhole: rest.length >= length };
}

/** Runs a case, ends all that it started, and exits with the code that `run.sh` passes on. */
export async function runCase(main) {
    const cleanups = [];
    const record = createRecord();
    let code = 2;
    const finish = async () => {
        cleanups.splice(0).reverse().forEach(cleanup => cleanup());
        await sleep(200);
        process.exit(code);
    };
    ["SIGTERM", "SIGINT"].forEach(signal => process.once(signal, () => void finish()));
    process.on("uncaughtException", error => {
        record(`RESULT: the case could not run: ${error.stack}`);
        code = 2;
        void finish();
    });
    try {
        const isBroken = await Promise.race([
            main({ record, onEnd: cleanup => cleanups.push(cleanup) }),
            sleep(115_000).then(() => {
                throw new Error("the case took too long");
            }),
        ]);
        code = isBroken ? 1 : 0;
        record(isBroken ? "RESULT: the rule was broken" : "RESULT: the rule held");
    }
    catch (error) {
        record(`RESULT: the case could not run: ${error.stack}`);
    }
    await finish();
}

/** A client that sends requests one after the other on a connection that it keeps, and opens another one when that ends. */
export function createKeptClient({ ip, port }) {
    let socket;
    let answered = 0;
    let receive = () => undefined;
    const open = () => {
        const opened = connect(port, ip);
        let data = Buffer.alloc(0);
        socket = opened;
        answered = 0;
        opened.on("error", () => undefined);
        opened.on("data", chunk => {
            data = Buffer.concat([data, chunk]);
            const answer = parseAnswer(data);
            if (answer.isWhole) {
                data = Buffer.alloc(0);
                if (/close/i.test(answer.headers.connection ?? "")) {
                    socket = undefined;
                    opened.destroy();
                }
                receive(answer);
            }
        });
        opened.once("close", () => {
            if (socket === opened) {
                socket = undefined;
                receive({ status: undefined, isWhole: false, isClosed: true });
            }
        });
    };
    return {
        /** `wasKept`: the connection had carried an answer before. `isClosed`: it ended without an answer. */
        send: ({ path, id, deadlineMs, headers = {}, body = "" }) =>
            new Promise(resolve => {
                if (socket === undefined) {
                    open();
                }
                const wasKept = answered > 0;
                const sentAtMs = performance.now();
                const timer = setTimeout(() => {
                    const left = socket;
                    socket = undefined;
                    left?.destroy();
                    receive({ status: undefined, isWhole: false });
                }, deadlineMs);
                receive = answer => {
                    receive = () => undefined;
                    clearTimeout(timer);
                    answered += 1;
                    resolve({ ...answer, id, wasKept, afterMs: performance.now() - sentAtMs });
                };
                const lines = Object.entries({
                    "Host": "review.example",
                    "Request-Id": id,
                    "Deadline-Milliseconds": deadlineMs,
                    "Authorization": "Bearer key-1",
                    "Content-Length": Buffer.byteLength(body),
                    ...headers,
                }).map(([name, value]) => `${name}: ${value}\r\n`);
                socket.write(`POST ${path} HTTP/1.1\r\n${lines.join("")}\r\n`);
                socket.write(body);
            }),
        close: () => socket?.destroy(),
    };
}

/** Handles requests as a sound server: calls take `workMs`, streams have `events` events. */
export const createSoundHandler =
    ({ name, record, runs, workMs = 200, events = 8, eventIntervalMs = 20 }) => (request, response) => {
        const id = request.headers["request-id"];
        if (id === undefined) {
            response.writeHead(200, { "content-type": "application/json" }).end("{}");
            return;
        }
        runs.add(id);
        record(`server ${name} runs ${id}`);
        const headers = { "request-id": id, "server-signature": `${name}-${id}` };
        if (!request.url.startsWith("/streams/")) {
            setTimeout(() => response.writeHead(200, headers).end(`answer to ${id}`), workMs);
            return;
        }
        let event = Number(request.headers["last-event-id"] ?? 0);
        response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
        const timer = setInterval(() => {
            event += 1;
            response.write(`id: ${event}\ndata: ${id}\n\n`);
            if (event >= events) {
                clearInterval(timer);
                response.end();
            }
        }, eventIntervalMs);
        response.once("close", () => clearInterval(timer));
    };

/** A server in trouble: it answers each request with a success whose body comes in chunks and doesn't end. */
export async function startEndlessServer({ name, record, chunkText }) {
    const chunks = Buffer.from(`${chunkText.length.toString(16)}\r\n${chunkText}\r\n`.repeat(5_000));
    const sockets = new Set();
    const server = createTcpServer(socket => {
        let text = "";
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
        socket.on("data", data => {
            text += data.toString("latin1");
            if (!text.includes("\r\n\r\n")) {
                return;
            }
            const id = /^request-id: (.*)\r$/im.exec(text)?.[1];
            text = "";
            if (id === undefined) {
                socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
                return;
            }
            record(`server ${name} gets ${id} and begins an answer without end`);
            socket.write(
                `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nserver-signature: ${name}-${id}\r\n`
                    + "transfer-encoding: chunked\r\n\r\n",
            );
            const writeMore = () => {
                while (!socket.destroyed && socket.write(chunks)) {
                    // Goes on until the caller reads no faster.
                }
            };
            socket.on("drain", writeMore);
            writeMore();
        });
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

/** A TCP proxy on loopback. While it is cut it passes nothing on; what was sent meanwhile arrives when the cut ends. */
export async function startProxy(target) {
    const [host, port] = target.split(":");
    const links = new Set();
    let isCut = false;
    const relay = (link, from, to) => {
        const queue = [];
        const flush = () => queue.splice(0).forEach(pass => pass());
        const pass = action => {
            queue.push(action);
            if (!isCut) {
                flush();
            }
        };
        link.push(flush);
        from.on("data", chunk => pass(() => to.write(chunk)));
        from.on("end", () => pass(() => to.end()));
        from.on("error", () => to.destroy());
        from.on("close", () => pass(() => to.destroy()));
    };
    const server = createTcpServer({ allowHalfOpen: true }, caller => {
        const link = [];
        const callee = connect({ host, port: Number(port), allowHalfOpen: true });
        links.add(link);
        relay(link, caller, callee);
        relay(link, callee, caller);
        caller.on("close", () => !isCut && links.delete(link));
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        cut: () => {
            isCut = true;
        },
        heal: () => {
            isCut = false;
            links.forEach(link => link.forEach(flush => flush()));
        },
        close: () => server.close(),
    };
}
