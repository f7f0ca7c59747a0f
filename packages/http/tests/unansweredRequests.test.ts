import { connect, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { closeConnection, type RunningServer, serveHttp, type UnansweredRequest } from "../src/index.js";

const closers: (() => unknown)[] = [];
afterEach(() => Promise.all(closers.splice(0).map(close => close())));

const HEAD = "POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n";

async function startServer(): Promise<{ server: RunningServer; unanswered: UnansweredRequest[]; begun: Socket[]; }> {
    const unanswered: UnansweredRequest[] = [];
    const begun: Socket[] = [];
    const server = await serveHttp({
        host: "127.0.0.1",
        port: 0,
        bodies: "raw",
        routes: [{ method: "ALL", path: "*", handle: ({ socket }) => void begun.push(socket) }],
        onUnanswered: each => unanswered.push(each),
    });
    closers.push(() => server.close());
    return { server, unanswered, begun };
}

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
    while (!isTrue()) {
        await new Promise(resolve => setTimeout(resolve, 2));
    }
};

type Close = (server: RunningServer, caller: Socket, accepted: Socket) => unknown;

describe("a request without an answer", () => {
    // Guards against answers that are lost without a trace: nobody could tell who closed the connection, or which requests
    // had been received on it.
    it.each<{ name: string; sent: string; close: Close; expected: readonly string[]; }>([
        {
            name: "in progress, closed by its client",
            sent: `${HEAD}ab`,
            close: (_server, caller) => caller.destroy(),
            expected: ["in_progress client"],
        },
        {
            name: "in progress, when the server is closed",
            sent: `${HEAD}ab`,
            close: server => server.close(),
            expected: ["in_progress stop"],
        },
        {
            name: "in progress, closed by its handler",
            sent: `${HEAD}ab`,
            close: (_server, _caller, accepted) => closeConnection(accepted, "out_of_time"),
            expected: ["in_progress out_of_time"],
        },
        {
            name: "behind another one, when the server is closed",
            sent: `${HEAD}ab${HEAD}cd`,
            close: server => server.close(),
            expected: ["in_progress stop", "waiting stop"],
        },
        {
            name: "whose body is incomplete, when the server is closed",
            sent: `${HEAD}ab${HEAD}c`,
            close: server => server.close(),
            expected: ["in_progress stop", "receiving stop"],
        },
    ])("is reported: $name", async ({ sent, close, expected }) => {
        const { server, unanswered, begun } = await startServer();
        const caller = connect(server.port, "127.0.0.1");
        caller.on("error", () => undefined);
        caller.write(sent);
        await waitUntil(() => begun.length === 1 && server.countPending() === expected.length);
        const [accepted] = begun;
        if (accepted !== undefined) {
            close(server, caller, accepted);
        }
        await waitUntil(() => unanswered.length >= expected.length);
        expect(unanswered.map(({ phase, cause }) => `${phase} ${cause}`).sort()).toEqual(expected);
    });
});
