import { afterEach, describe, expect, it } from "vitest";
import { type RunningServer, sendJson, serveHttp } from "../src/index.js";

const servers: RunningServer[] = [];
afterEach(() => Promise.all(servers.splice(0).map(server => server.close())));

describe("a server that cannot accept a connection", () => {
    // Guards against an uncaught exception, which ends the process, when accepting fails after the server has started:
    // Node.js emits an error of the server then.
    it.each(["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"])("reports %s and goes on serving", async code => {
        const reported: Error[] = [];
        const running = await serveHttp({
            host: "127.0.0.1",
            port: 0,
            onServerError: error => reported.push(error),
            routes: [{ method: "GET", path: "/", handle: (_request, response) => sendJson(response, 200, {}) }],
        });
        servers.push(running);
        const error = Object.assign(new Error(`accept ${code}`), { code });
        running.server.emit("error", error);
        expect(reported).toEqual([error]);
        expect((await fetch(`http://127.0.0.1:${running.port}/`)).status).toBe(200);
    });
});
