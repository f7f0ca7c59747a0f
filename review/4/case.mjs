// An order that comes late in the grace time, on a connection that the host has left open.
import { connect } from "node:net";
import {
    configuration,
    createHosts,
    createSoundHandler,
    route,
    runCase,
    sendRequest,
    serverEntry,
    sleep,
    startServer,
    startStore,
} from "../lib/system.mjs";

/** With TROUBLE=0 the case does the same without the disruption. */
const withTrouble = process.env.TROUBLE !== "0";

const ORDERS = 5;
const TIMEOUT_MS = 1_500;
/** Time of an order at its server, within the deadline. */
const WORK_MS = 1_400;
/** From the SIGTERM to the orders. */
const ORDERS_AFTER_MS = 6_200;
/** From the SIGTERM to the end of the grace time and one second more. */
const GRACE_AND_SLACK_MS = 9_000;

await runCase(async ({ record, onEnd }) => {
    const store = await startStore();
    onEnd(store.close);
    const runs = new Set();
    const handle = createSoundHandler({ name: "i-1", record, runs, workMs: WORK_MS, events: 20, eventIntervalMs: 330 });
    const server = await startServer(handle);
    onEnd(server.close);
    const { hosts: [host], close } = await createHosts({ count: 1, storeAddress: store.address, record });
    onEnd(close);
    const routes = [
        route("streams", "streaming", "desk", { timeout_ms: 15_000 }),
        route("orders", "unsafe", "desk", { timeout_ms: TIMEOUT_MS }),
    ];
    store.put("op", "config", configuration(1, routes, ["desk"]));
    store.put("servers", "i-1", serverEntry("desk", server.address, "a"));
    host.start();
    await host.waitUntilReady();
    await sleep(3_500);

    // Connections that clients have opened and not used yet.
    const sockets = Array.from({ length: ORDERS }, () => connect(host.port, host.ip));
    // A stream of 6.6 s, which ends within the grace time.
    const stream = sendRequest({
        ip: host.ip,
        port: host.port,
        path: "/streams/x",
        id: "stream-1",
        deadlineMs: 15_000,
    });
    await sleep(300);
    const termedAtMs = performance.now();
    if (withTrouble) {
        host.signal("SIGTERM");
    }
    await sleep(ORDERS_AFTER_MS);
    const answers = await Promise.all(sockets.map((socket, index) =>
        new Promise(resolve => {
            const id = `order-${index + 1}`;
            let text = "";
            const finish = () => {
                const endedAfterMs = performance.now() - termedAtMs;
                record(`client gets ${text.split("\r\n")[0] || "no answer"} for ${id}`);
                socket.destroy();
                resolve({ id, text, endedAfterMs });
            };
            socket.on("error", () => undefined);
            socket.on("close", finish);
            socket.on("data", data => {
                text += data.toString("latin1");
                finish();
            });
            record(`client sends ${id}`);
            socket.write(
                "POST /orders/x HTTP/1.1\r\nHost: review.example\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n"
                    + `Request-Id: ${id}\r\nDeadline-Milliseconds: ${TIMEOUT_MS}\r\n\r\n`,
            );
        })
    ));
    const { isWhole } = await stream;
    record(`the stream ${isWhole ? "came whole" : "was cut"}`);
    const lost = answers.filter(({ id, text, endedAfterMs }) =>
        runs.has(id) && text === "" && endedAfterMs < GRACE_AND_SLACK_MS
    );
    record(`${lost.length} of ${ORDERS} orders were passed on and got no answer`);
    return lost.length > 0;
});
