// One server answers calls with a body that comes in small chunks and doesn't end. What becomes of the other calls?
import {
    configuration,
    createHosts,
    createKeptClient,
    createSoundHandler,
    route,
    runCase,
    serverEntry,
    sleep,
    startEndlessServer,
    startServer,
    startStore,
} from "../lib/system.mjs";

/** With TROUBLE=0 the case does the same without the disruption. */
const withTrouble = process.env.TROUBLE !== "0";

const DEADLINE_MS = 8_000;
const DESK_CLIENTS = 5;
const ORDER_CLIENTS = 24;
const SECONDS = 20;
/** Delay after which the platform starts an ended process again. */
const RESTART_MS = 500;

await runCase(async ({ record, onEnd }) => {
    const store = await startStore();
    onEnd(store.close);
    const runs = new Set();
    const startSound = async (name, options) => {
        const server = await startServer(createSoundHandler({ name, record, runs, ...options }));
        onEnd(server.close);
        return server;
    };
    const orders = await startSound("i-orders", { workMs: 400 });
    const desk = await startSound("i-desk-1");
    const other = withTrouble
        ? await startEndlessServer({ name: "i-desk-2", record, chunkText: "a" })
        : await startSound("i-desk-2");
    onEnd(other.close);
    const { hosts: [host], close } = await createHosts({ count: 1, storeAddress: store.address, record });
    onEnd(close);
    const routes = [
        route("desk", "unsafe", "desk", { timeout_ms: DEADLINE_MS }),
        route("orders", "unsafe", "orders", { timeout_ms: DEADLINE_MS }),
    ];
    store.put("op", "config", configuration(1, routes, ["desk", "orders"]));
    store.put("servers", "i-orders", serverEntry("orders", orders.address, "a", { slots: 20 }));
    store.put("servers", "i-desk-1", serverEntry("desk", desk.address, "a", { slots: 6 }));
    store.put("servers", "i-desk-2", serverEntry("desk", other.address, "a", { slots: 6 }));
    host.start();
    await host.waitUntilReady();
    // The host is in touch from `stable_window_ms` after its start on.
    await sleep(3_500);

    let crashes = 0;
    let isRestarting = false;
    const watch = setInterval(() => {
        if (host.child === undefined && !isRestarting) {
            crashes += 1;
            isRestarting = true;
            setTimeout(() => {
                host.start();
                isRestarting = false;
            }, RESTART_MS);
        }
    }, 20);
    onEnd(() => clearInterval(watch));
    const answers = [];
    const endAtMs = performance.now() + SECONDS * 1_000;
    const runClient = async (kind, index) => {
        const client = createKeptClient(host);
        onEnd(client.close);
        for (let count = 1; performance.now() < endAtMs; count += 1) {
            const id = `${kind}-${index}-${count}`;
            record(`client sends ${id}`);
            const answer = await client.send({ path: `/${kind}/x`, id, deadlineMs: DEADLINE_MS });
            record(
                `client gets ${
                    answer.status ?? (answer.isClosed ? "a closed connection" : "nothing in time")
                } for ${id}`,
            );
            answers.push(answer);
            await sleep(kind === "desk" ? 700 : 100);
        }
    };
    await Promise.all([
        ...Array.from({ length: DESK_CLIENTS }, (_, index) => runClient("desk", index + 1)),
        ...Array.from({ length: ORDER_CLIENTS }, (_, index) => runClient("orders", index + 1)),
    ]);
    clearInterval(watch);
    const lost = answers.filter(({ id, wasKept, isClosed }) => wasKept && isClosed && runs.has(id));
    record(`the host ended by itself ${crashes} times`);
    record(`${lost.length} requests from kept connections were run by sound servers and got a closed connection`);
    return lost.length > 3;
});
