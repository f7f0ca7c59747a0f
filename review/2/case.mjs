// One server answers a stream with bytes that come in chunks and contain no event. What becomes of the other calls?
import {
    configuration,
    createHosts,
    createKeptClient,
    createSoundHandler,
    route,
    runCase,
    sendRequest,
    serverEntry,
    sleep,
    startEndlessServer,
    startServer,
    startStore,
} from "../lib/system.mjs";

/** With TROUBLE=0 the case does the same without the disruption. */
const withTrouble = process.env.TROUBLE !== "0";

const STREAMS = 6;
const STREAM_DEADLINE_MS = 10_000;
const ORDER_TIMEOUT_MS = 800;
const ORDER_DEADLINE_MS = 1_500;
const ORDER_CLIENTS = 10;
const SECONDS = 12;

await runCase(async ({ record, onEnd }) => {
    const store = await startStore();
    onEnd(store.close);
    const runs = new Set();
    const startSound = async name => {
        const server = await startServer(createSoundHandler({ name, record, runs }));
        onEnd(server.close);
        return server;
    };
    const orders = await startSound("i-orders");
    const pool = [await startSound("i-pool-1"), await startSound("i-pool-2")];
    const other = withTrouble
        ? await startEndlessServer({ name: "i-pool-3", record, chunkText: "abcdefgh" })
        : await startSound("i-pool-3");
    onEnd(other.close);
    const { hosts: [host], close } = await createHosts({ count: 1, storeAddress: store.address, record });
    onEnd(close);
    const routes = [
        route("streams", "streaming", "pool", { timeout_ms: STREAM_DEADLINE_MS, attempts: 2 }),
        route("orders", "unsafe", "orders", { timeout_ms: ORDER_TIMEOUT_MS }),
    ];
    store.put("op", "config", configuration(1, routes, ["pool", "orders"]));
    store.put("servers", "i-orders", serverEntry("orders", orders.address, "a"));
    [...pool, other].forEach((server, index) =>
        store.put("servers", `i-pool-${index + 1}`, serverEntry("pool", server.address, "a"))
    );
    host.start();
    await host.waitUntilReady();
    // The host is in touch from `stable_window_ms` after its start on.
    await sleep(3_500);

    const answers = [];
    const endAtMs = performance.now() + SECONDS * 1_000;
    const runClient = async index => {
        const client = createKeptClient(host);
        onEnd(client.close);
        for (let count = 1; performance.now() < endAtMs; count += 1) {
            const id = `orders-${index}-${count}`;
            record(`client sends ${id}`);
            const answer = await client.send({ path: "/orders/x", id, deadlineMs: ORDER_DEADLINE_MS });
            record(`client gets ${answer.status ?? "nothing"} for ${id} after ${Math.round(answer.afterMs)} ms`);
            answers.push(answer);
            await sleep(300);
        }
    };
    const runStream = async index => {
        const id = `streams-${index}`;
        await sleep(1_000 + index * 100);
        record(`client sends ${id}`);
        const { ip, port } = host;
        const answer = await sendRequest({ ip, port, path: "/streams/x", id, deadlineMs: STREAM_DEADLINE_MS });
        record(`client gets ${answer.isWhole ? answer.status : `no whole answer (${answer.error})`} for ${id}`);
    };
    await Promise.all([
        ...Array.from({ length: ORDER_CLIENTS }, (_, index) => runClient(index + 1)),
        ...Array.from({ length: STREAMS }, (_, index) => runStream(index + 1)),
    ]);
    const overdue = answers.filter(({ afterMs }) => afterMs > ORDER_TIMEOUT_MS);
    const unanswered = overdue.filter(({ isWhole, afterMs }) => !isWhole || afterMs > ORDER_TIMEOUT_MS + 500);
    record(
        `${overdue.length} orders had no answer at their route's timeout, ${unanswered.length} had none 0.5 s later`,
    );
    return unanswered.length >= 8 && unanswered.length > overdue.length / 2;
});
