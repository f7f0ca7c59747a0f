/** A host reaches a server through another host, which is killed in the middle of an answer that ends with its connection. */
import { fork } from "node:child_process";
import { writeFileSync } from "node:fs";
import { connect } from "node:net";
import { createId, send } from "../lib-2/client.mjs";
import {
    buildConfiguration,
    buildEntry,
    findPorts,
    hasTrouble,
    now,
    route,
    sleep,
    startSystem,
} from "../lib-2/system.mjs";

const TRIALS = 3;
const SERVER_ID = "i-app";

const record = [];
const note = text => {
    record.push(`${Math.round(now())} ms  ${text}`);
    console.log(text);
};

const system = await startSystem({ hosts: 2 });
const [serverPort] = await findPorts(1);
const server = fork(new URL("../lib-2/server.mjs", import.meta.url).pathname, {
    env: { PATH: process.env.PATH, SERVER_ID, SERVER_PORT: String(serverPort) },
});
system.onClose(() => {
    server.kill("SIGCONT");
    server.kill("SIGKILL");
});
const wholes = new Map();
const listeners = new Set();
server.on("message", message => {
    if (message.event === "runs") {
        wholes.set(message.requestId, message.whole);
    }
    note(`server: ${message.event} ${message.requestId ?? ""}`);
    listeners.forEach(listen => listen(message));
});
const awaitEvent = (event, limitMs) =>
    new Promise(resolve => {
        const listen = message => {
            if (message.event === event) {
                finish(message);
            }
        };
        const timer = setTimeout(() => finish(undefined), limitMs);
        const finish = result => {
            clearTimeout(timer);
            listeners.delete(listen);
            resolve(result);
        };
        listeners.add(listen);
    });

/** Fills the queue of new connections of the server, which stands still. */
const fillQueue = async () => {
    const sockets = Array.from({ length: 2 }, () => connect({ host: "127.0.0.1", port: serverPort }));
    sockets.forEach(socket => socket.on("error", () => undefined));
    await sleep(20);
    return () => sockets.forEach(socket => socket.destroy());
};

async function runTrial(path) {
    const [first, second] = system.hosts;
    // The direct connection of the first host gets no reply, as behind a cut; the other host reaches the server.
    server.kill("SIGSTOP");
    const empty = await fillQueue();
    const half = awaitEvent("half", 3_000);
    const id = createId();
    note(`client: sends ${id} to ${first.name} ${path}`);
    const answer = send(first, { id, path, body: "hello", deadlineMs: 3_000 });
    await sleep(25);
    server.kill("SIGCONT");
    empty();
    const began = await half;
    if (began !== undefined && hasTrouble()) {
        await sleep(150);
        note(`kills ${second.name}`);
        second.signal("SIGKILL");
    }
    const { status, isComplete, body, cause } = await answer;
    const text = body.toString();
    note(`client: ${id} status ${status}, complete ${isComplete}, ${cause}, body ${JSON.stringify(text)}`);
    const isRelayed = first.logs().includes("endpoints are reached through peers")
        || await countRelayed(first) > 0;
    const isTruncated = status === 200 && isComplete && text !== wholes.get(id);
    if (hasTrouble()) {
        await second.last.ended;
        second.start();
        await system.waitUntilReady();
    }
    await sleep(1_500);
    return { isRelayed, isTruncated, isServed: status === 200 && isComplete && text === wholes.get(id) };
}

let relayedBefore = 0;
/** Returns how many connections through a peer the host has opened since the last call. */
async function countRelayed(host) {
    const port = host.metricsPort;
    const text = await (await fetch(`http://${host.ip}:${port}/metrics`)).text();
    const line = text.split("\n").find(each => /relay/.test(each) && /opened/.test(each) && /connected/.test(each));
    const count = Number(line?.split(" ").at(-1) ?? 0);
    const isNew = count - relayedBefore;
    relayedBefore = count;
    return isNew;
}

let exitCode = 2;
try {
    system.store.put(
        "op",
        "config",
        buildConfiguration(1, {
            routes: [route("unsafe", "app", {}), route("streaming", "app", { target_gap_ms: 1_000 })],
            services: [{ name: "app", health_check_path: "/health" }],
        }),
    );
    system.store.put("servers", SERVER_ID, buildEntry("app", `127.0.0.1:${serverPort}`));
    system.hosts.forEach(host => host.start());
    if (await system.waitUntilReady()) {
        await sleep(2_500);
        const results = [];
        for (let trial = 0; trial < TRIALS; trial += 1) {
            results.push(await runTrial("/unsafe/order"));
            results.push(await runTrial("/streaming/notes"));
        }
        const relayed = results.filter(({ isRelayed }) => isRelayed);
        const truncated = relayed.filter(({ isTruncated }) => isTruncated);
        note(
            `requests ${results.length}, through the other host ${relayed.length}, truncated and complete to the client `
                + `${truncated.length}, whole ${results.filter(({ isServed }) => isServed).length}`,
        );
        exitCode = relayed.length === 0 ? 2 : truncated.length > 0 ? 1 : 0;
    }
}
finally {
    await system.close();
    writeFileSync(new URL("record.txt", import.meta.url), `${record.join("\n")}\nexit ${exitCode}\n`);
}
process.exit(exitCode);
