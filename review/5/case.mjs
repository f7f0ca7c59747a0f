// A host is cut off from the store while a server leaves.
import {
    configuration,
    createHosts,
    createKeptClient,
    route,
    runCase,
    serverEntry,
    sleep,
    startProxy,
    startServer,
    startStore,
} from "../lib/system.mjs";

/** With TROUBLE=0 the case does the same without the disruption. */
const withTrouble = process.env.TROUBLE !== "0";

const TIMEOUT_MS = 1_500;
const WORK_MS = 700;
const CLIENTS = 12;
/** `drain_ms` and `stable_window_ms` of the deployment. */
const DRAIN_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;
/** From the time at which the host is cut off from the store. */
const BEAT_AFTER_MS = 100;
const LEAVES_AFTER_MS = 300;
const HEALED_AFTER_MS = 2_500;
const ORDERS_AFTER_MS = 6_000;
const EXIT_AFTER_MS = 6_500;
const END_AFTER_MS = 8_500;

await runCase(async ({ record, onEnd }) => {
    const store = await startStore();
    onEnd(store.close);
    let isLeaving = false;
    const arrivals = new Map();
    const born = Date.now() - 60_000;
    const startDesk = async (name, getHeaders) => {
        const server = await startServer((request, response) => {
            const id = request.headers["request-id"];
            if (id === undefined) {
                response.writeHead(200, { "content-type": "application/json", ...getHeaders() }).end("{}");
                return;
            }
            arrivals.set(id, name);
            record(`server ${name} runs ${id}`);
            setTimeout(() => {
                const headers = { "request-id": id, "server-signature": `${name}-${id}`, ...getHeaders() };
                response.writeHead(200, headers).end(name);
            }, WORK_MS);
        });
        onEnd(server.close);
        return server;
    };
    const staying = [await startDesk("i-1", () => ({})), await startDesk("i-2", () => ({}))];
    const leaving = await startDesk("i-3", () => isLeaving ? { "server-leaving": "1" } : {});
    const proxy = await startProxy(store.address);
    onEnd(proxy.close);
    const storeAddresses = [proxy.address, store.address];
    const { hosts, close } = await createHosts({ count: 2, storeAddresses, record, zones: ["a"] });
    onEnd(close);
    const [host] = hosts;
    const routes = [route("orders", "unsafe", "desk", { timeout_ms: TIMEOUT_MS })];
    store.put("op", "config", configuration(1, routes, ["desk"]));
    staying.forEach(({ address }, index) =>
        store.put("servers", `i-${index + 1}`, serverEntry("desk", address, "a", { slots: 6, born }))
    );
    store.put("servers", "i-3", serverEntry("desk", leaving.address, "a", { slots: 6, born }));
    hosts.forEach(each => each.start());
    await Promise.all(hosts.map(each => each.waitUntilReady()));
    await sleep(3_500);

    const requests = [];
    const sendOrders = async (endAtMs, kind) => {
        await Promise.all(Array.from({ length: CLIENTS }, async (_, index) => {
            const client = createKeptClient(host);
            onEnd(client.close);
            for (let count = 1; performance.now() < endAtMs; count += 1) {
                const id = `${kind}-${index + 1}-${count}`;
                const sentAtMs = performance.now();
                const answer = await client.send({ path: "/orders/x", id, deadlineMs: TIMEOUT_MS });
                record(`client gets ${answer.status ?? "no answer"} for ${id}`);
                requests.push({ ...answer, sentAtMs });
                await sleep(50);
            }
        }));
    };
    await sendOrders(performance.now() + 1_500, "before");
    const [firstStaying] = staying;
    store.put("servers", "i-1", serverEntry("desk", firstStaying.address, "a", { slots: 6, born, sequence_number: 1 }));
    await sleep(150);
    const cutAtMs = performance.now();
    const waitUntil = afterMs => sleep(cutAtMs + afterMs - performance.now());
    if (withTrouble) {
        proxy.cut();
        record("front-1 is cut off from the store");
    }
    await waitUntil(BEAT_AFTER_MS);
    store.put("servers", "i-3", serverEntry("desk", leaving.address, "a", { slots: 6, born, sequence_number: 1 }));
    record("server i-3 writes its entry, still ready");
    await waitUntil(LEAVES_AFTER_MS);
    isLeaving = true;
    store.remove("servers", "i-3");
    record("server i-3 leaves: its entry is removed, and its answers say so");
    await waitUntil(HEALED_AFTER_MS);
    if (withTrouble) {
        proxy.heal();
        record("front-1 reaches the store again");
    }
    await waitUntil(ORDERS_AFTER_MS);
    const orders = sendOrders(cutAtMs + END_AFTER_MS, "after");
    await waitUntil(EXIT_AFTER_MS);
    record("server i-3 exits");
    leaving.crash();
    await orders;

    const late = requests.filter(({ id, sentAtMs }) =>
        arrivals.get(id) === "i-3"
        && sentAtMs > cutAtMs + Math.max(LEAVES_AFTER_MS + DRAIN_MS, HEALED_AFTER_MS + STABLE_WINDOW_MS)
    );
    const lost = late.filter(({ status }) => status !== 200);
    record(
        `${late.length} orders reached i-3 over ${ORDERS_AFTER_MS - LEAVES_AFTER_MS} ms after its entry was removed `
            + `(${late.map(({ id }) => id).join(", ")}); ${lost.length} of them were not answered with success`,
    );
    return late.length > 0;
});
