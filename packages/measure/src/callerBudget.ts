/**
 * Measures what the resource budget adds to an ordinary request: two servers on loopback, with and without it, get
 * requests on one kept connection each, in turns. Prints the processor time of a request of both, which includes that of
 * the client.
 */
import { createResourceBudget, trackConnections } from "@currantrill/http";
import { command, number, option, run } from "cmd-ts";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Client } from "undici";

const GOAL_MICROSECONDS = 20;
const WARM_UP_REQUESTS = 5_000;
const MAX_HEAD_BYTES = 16_384;
const REQUEST_BYTES = 5_000;
const BODY = "a".repeat(600);

const callerBudget = command({
    name: "caller-budget",
    args: {
        rounds: option({ long: "rounds", type: number, defaultValue: () => 21, description: "rounds of each server" }),
        requests: option({ long: "requests", type: number, defaultValue: () => 2_000, description: "of a round" }),
    },
    handler: async ({ rounds, requests }) => {
        const plain = await startServer(false);
        const metered = await startServer(true);
        const times: Record<"plain" | "metered", number[]> = { plain: [], metered: [] };
        await sendRequests(plain.client, WARM_UP_REQUESTS);
        await sendRequests(metered.client, WARM_UP_REQUESTS);
        for (let round = 0; round < rounds; round += 1) {
            times.plain.push(await sendRequests(plain.client, requests));
            times.metered.push(await sendRequests(metered.client, requests));
        }
        for (const { client, server } of [plain, metered]) {
            await client.close();
            server.close();
        }
        const added = computeMedian(times.metered) - computeMedian(times.plain);
        print(
            `without the budget  ${computeMedian(times.plain).toFixed(1)} microseconds a request (median of ${rounds})`,
        );
        print(`with the budget     ${computeMedian(times.metered).toFixed(1)} microseconds`);
        print(`added               ${added.toFixed(1)} microseconds, goal ${GOAL_MICROSECONDS}`);
        process.exitCode = added < GOAL_MICROSECONDS ? 0 : 1;
    },
});

async function startServer(isMetered: boolean): Promise<{ server: Server; client: Client; }> {
    let heads = 0;
    let last: IncomingMessage | undefined;
    const server = createServer((request, response) => {
        heads += 1;
        last = request;
        const account = tracker?.getAccount(request.socket);
        account?.take("request", REQUEST_BYTES);
        response.once("close", () => account?.give("request", REQUEST_BYTES));
        request.resume();
        request.once("end", () => response.end("ok"));
    });
    const tracker = isMetered
        ? trackConnections({
            server,
            budget: createResourceBudget({ getLimit: () => 1_000_000 }),
            getMaxHeadBytes: () => MAX_HEAD_BYTES,
            queues: {
                isWaitingForHost: () => false,
                limitReading: () => undefined,
                countHeads: () => heads,
                countBodyBytes: () => 0,
                getReceiving: () => last?.complete === false ? last : undefined,
            },
        })
        : undefined;
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return { server, client: new Client(`http://127.0.0.1:${port}`) };
}

/** Returns the processor time of a request, in microseconds. */
async function sendRequests(client: Client, count: number): Promise<number> {
    const start = process.cpuUsage();
    for (let index = 0; index < count; index += 1) {
        const { body } = await client.request({ method: "POST", path: "/x", body: BODY });
        await body.dump();
    }
    const { user, system } = process.cpuUsage(start);
    return (user + system) / count;
}

function computeMedian(values: readonly number[]): number {
    return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

const print = (line: string): void => void process.stdout.write(`${line}\n`);

await run(callerBudget, process.argv.slice(2));
