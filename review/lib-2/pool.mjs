/** Sound model servers in the process of the test. They stream events, and follow the rules of the pages on headers. */
import { buildEntry, now } from "./system.mjs";

const EVENTS = 6;
const EVENT_GAP_MS = 20;

/** Starts model servers, and registers them in the store. `runs` gets each request that a server runs. */
export async function startPool(system, { count, service = "pool", version = 1, runs = [], handle }) {
    const servers = [];
    for (let index = 1; index <= count; index += 1) {
        const state = { id: `i-${service}-${index}`, version, misdirected: 0 };
        const server = await system.listen((request, response) => serve(state, runs, request, response, handle), 0);
        state.address = `127.0.0.1:${server.address().port}`;
        state.entry = buildEntry(service, state.address, { version: String(version) });
        system.store.put("servers", state.id, state.entry);
        servers.push(state);
    }
    return servers;
}

function serve(state, runs, request, response, handle) {
    const { headers, url } = request;
    request.resume();
    request.on("end", () => {
        if (url === "/-/report") {
            const report = {
                stage: "colocated",
                models: [{ name: "m", version: state.version, adapters: [] }],
                busy: false,
                sequence_number: 0,
                waiting: 0,
                running: 0,
                kv_cache_used: 0,
                kv_cache_total: 232_000,
                handles: 0,
                tickets: [],
                pace: 1,
                born: state.entry.born,
            };
            response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(report));
            return;
        }
        if (url === "/health") {
            response.writeHead(200, { "instance-id": state.id }).end();
            return;
        }
        if (url === "/-/order") {
            response.writeHead(200, { "content-type": "application/json" }).end("{\"free\":100000}");
            return;
        }
        const requestId = headers["request-id"];
        const isOther = headers["expected-instance"] !== undefined && headers["expected-instance"] !== state.id;
        const expected = headers["expected-version"];
        if (isOther || expected !== undefined && Number(expected) !== state.version) {
            state.misdirected += 1;
            response.writeHead(421, {
                "request-id": requestId,
                "not-executed": "1",
                "at-server": state.address,
                "content-length": "0",
            }).end();
            return;
        }
        const run = { requestId, server: state.id, atMs: now(), headers, url };
        runs.push(run);
        if (handle?.(state, request, response, run) === true) {
            return;
        }
        response.writeHead(200, {
            "request-id": requestId,
            "server-signature": `${state.id}.${requestId}`,
            "weight-versions": String(state.version),
            "content-type": "text/event-stream",
        });
        let id = Number(headers["last-event-id"] ?? 0);
        const write = () => {
            if (response.destroyed) {
                return;
            }
            id += 1;
            response.write(`id: ${id}\ndata: ${requestId} ${id}\n\n`);
            if (id >= EVENTS) {
                response.end();
                return;
            }
            setTimeout(write, EVENT_GAP_MS);
        };
        setTimeout(write, EVENT_GAP_MS);
    });
}
