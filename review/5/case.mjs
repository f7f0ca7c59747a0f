// A server leaves; then the store comes back from a copy in which the server is still ready.
import {
    configuration,
    createHosts,
    createKeptClient,
    route,
    runCase,
    serverEntry,
    sleep,
    startServer,
    startStore,
    withTrouble,
} from "../lib/system.mjs";

const TIMEOUT_MS = 1_500;
const WORK_MS = 700;
const CLIENTS = 12;
/** `drain_ms` of the deployment. */
const DRAIN_MS = 2_000;
/** From the time at which the server's leaving is in the store. */
const STORE_AWAY_AFTER_MS = 2_300;
const STORE_BACK_AFTER_MS = 2_800;
/** The entry lapses three heartbeats after the store is back, since the server has exited. */
const LAPSED_AFTER_MS = 6_400;
const EXIT_AFTER_MS = 3_900;
const END_AFTER_MS = 7_000;
/** Age of the copy at the time at which the store goes away. */
const COPY_AGE_MS = 3_000;

await runCase(async ({ record, onEnd }) => {
    const store = await startStore();
    onEnd(store.close);
    let isLeaving = false;
    const arrivals = new Map();
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
    const { hosts: [host], close } = await createHosts({ count: 1, storeAddress: store.address, record });
    onEnd(close);
    const orders = route("orders", "unsafe", "desk", { timeout_ms: TIMEOUT_MS });
    store.put("op", "config", configuration(1, [orders], ["desk"]));
    staying.forEach(({ address }, index) =>
        store.put("servers", `i-${index + 1}`, serverEntry("desk", address, "a", { slots: 6 }))
    );
    store.put("servers", "i-3", serverEntry("desk", leaving.address, "a", { slots: 6 }));
    host.start();
    await host.waitUntilReady();
    await sleep(3_500);

    const requests = [];
    let isOver = false;
    const runClient = async index => {
        const client = createKeptClient(host);
        onEnd(client.close);
        for (let count = 1; !isOver; count += 1) {
            const id = `order-${index}-${count}`;
            const sentAtMs = performance.now();
            const answer = await client.send({ path: "/orders/x", id, deadlineMs: TIMEOUT_MS });
            const says = answer.headers?.["server-leaving"] === "1" ? ", the server leaves" : "";
            record(`client gets ${answer.status ?? "no answer"} for ${id}${says}`);
            requests.push({ ...answer, sentAtMs, endedAtMs: performance.now(), saysLeaving: says !== "" });
            await sleep(50);
        }
    };
    const clients = Array.from({ length: CLIENTS }, (_, index) => runClient(index + 1));
    await sleep(1_000);
    const copy = store.copy();
    await sleep(COPY_AGE_MS - STORE_AWAY_AFTER_MS);
    const leftAtMs = performance.now();
    const waitUntil = afterMs => sleep(leftAtMs + afterMs - performance.now());
    isLeaving = true;
    store.remove("servers", "i-3");
    record("server i-3 leaves: its entry is removed, and its answers say so");
    await waitUntil(STORE_AWAY_AFTER_MS);
    if (withTrouble) {
        record("the store is away");
        store.leave();
        await waitUntil(STORE_BACK_AFTER_MS);
        store.restore(copy);
        record(`the store is back from a copy ${COPY_AGE_MS} ms older than its end`);
    }
    await waitUntil(EXIT_AFTER_MS);
    record("server i-3 exits");
    leaving.crash();
    await waitUntil(LAPSED_AFTER_MS);
    store.remove("servers", "i-3");
    await waitUntil(END_AFTER_MS);
    isOver = true;
    await Promise.all(clients);

    const passedOnAtMs = Math.min(...requests.filter(each => each.saysLeaving).map(each => each.endedAtMs));
    if (passedOnAtMs === Infinity) {
        throw new Error("no answer said that the server leaves");
    }
    const late = requests.filter(({ id, sentAtMs }) =>
        arrivals.get(id) === "i-3" && sentAtMs > passedOnAtMs + DRAIN_MS
    );
    const lost = late.filter(({ status }) => status !== 200);
    record(`the host first passed on that i-3 leaves ${Math.round(passedOnAtMs - leftAtMs)} ms after that`);
    record(
        `${late.length} orders sent over ${DRAIN_MS} ms later reached i-3 (${late.map(each => each.id).join(", ")}); `
            + `${lost.length} of them were not answered with success`,
    );
    return late.length > 0;
});
