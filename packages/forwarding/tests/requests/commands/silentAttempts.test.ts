/** Attempts at silent endpoints beside other ones: ends in each order. */
import { toServiceId } from "@currantrill/protocol";
import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import type { Route } from "../../../src/configuration/model/servingConfiguration.js";
import { engine } from "../../engineFixture.js";
import {
    beginStream,
    createRoute,
    type EndpointScript,
    endStream,
    formatEvent,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    waitUntil,
    writeAnswer,
    writeChunk,
} from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(() => Promise.all(closers.splice(0).map(close => close())));

const start = async (id: string, script: EndpointScript): Promise<TestEndpoint> => {
    const endpoint = await startEndpoint(id, script);
    closers.push(endpoint.close);
    return endpoint;
};
const refuse: EndpointScript = (prompt, socket) => writeAnswer(socket, prompt, 503, "", "t-not-run: 1\r\n");
const wholeText = formatEvent(1) + formatEvent(2) + formatEvent(3);

interface Sent {
    readonly host: TestHost;
    readonly ended: Promise<unknown>;
}

/** Sends a stream to a host that knows only the first endpoint until that one has received it. */
async function send(
    [first, ...others]: readonly [TestEndpoint, ...TestEndpoint[]],
    changes: Partial<Route> = {},
    headers: Record<string, string> = {},
): Promise<Sent> {
    const route = createRoute({ kind: "stream", canResume: true, timeoutMs: 8_000, targetPauseMs: 250, ...changes });
    const host = await startTestHost([route], [first]);
    closers.push(() => host.host.drain());
    host.configure({ services: [{ name: toServiceId("desk"), engine }] });
    await waitUntil(() =>
        host.host.context.getConfiguration()?.services.get(toServiceId("desk"))?.engine !== undefined
    );
    const replied = request(`${host.url}/r/x`, { headers: { "host": "desk.example", "t-id": "q", ...headers } });
    await waitUntil(() => first.received.length === 1);
    others.forEach(other => host.publish(other));
    const ended = (async () => {
        const result = await replied
            .then(async reply => ({ status: reply.statusCode, text: await reply.body.text() }))
            .catch((error: unknown) => ({ text: String(error) }));
        await waitUntil(() => host.logged.some(line => line["msg"] === "requests: ended"));
        const line = host.logged.find(each => each["msg"] === "requests: ended");
        const attempts = line?.["attempts"] as { endpoint: string; outcome: string; reason?: string; }[];
        return { ...result, outcome: line?.["outcome"], durationMs: line?.["durationMs"], attempts };
    })();
    return { host, ended };
}

describe("a silent attempt beside the next one", () => {
    // Guards against a response that both attempts write: the silent one passes on its 404 and does not end the next one.
    it("answers with a client error, and ends the next one", async () => {
        const silent = await start("silent", (prompt, socket) => {
            silent.isSilent = true;
            setTimeout(() => writeAnswer(socket, prompt, 404, "{}"), 1_500);
        });
        const other = await start("other", (prompt, socket) => {
            setTimeout(() => writeAnswer(socket, prompt, 404, "{}"), 2_000);
        });
        const { ended } = await send([silent, other]);
        const result = await ended;
        expect(result, JSON.stringify(result)).toMatchObject({ status: 404, outcome: "passed_on" });
        expect((result as { durationMs: number; }).durationMs).toBeLessThan(2_500);
    });

    // Guards against a sound endpoint that is recorded as failed because another attempt has written the response.
    it("answers with a client error, and the next one begins a stream", async () => {
        const silent = await start("silent", (prompt, socket) => {
            silent.isSilent = true;
            setTimeout(() => writeAnswer(socket, prompt, 404, "{}"), 1_500);
        });
        const other = await start("other", (prompt, socket) => {
            setTimeout(() => beginStream(socket, prompt), 2_000);
        });
        const { ended } = await send([silent, other]);
        const result = await ended;
        expect(result, JSON.stringify(result)).toMatchObject({ status: 404, outcome: "passed_on" });
        expect((result as { attempts: { reason?: string; }[]; }).attempts[1]?.reason).toContain("silent endpoint");
    });

    // Guards against a stream that is broken off at its second silence, since there was a silent attempt when it began.
    it("has been ended by the next one, which then falls silent and goes on", async () => {
        const silent = await start("silent", (prompt, socket) => {
            beginStream(socket, prompt);
            writeChunk(socket, formatEvent(1));
        });
        const other = await start("other", (prompt, socket) => {
            beginStream(socket, prompt);
            writeChunk(socket, formatEvent(2));
            setTimeout(() => {
                writeChunk(socket, formatEvent(3));
                endStream(socket);
            }, 2_000);
        });
        const { ended, host } = await send([silent, other], { attempts: 3 });
        await waitUntil(() => other.received.length === 1);
        host.publish(await start("third", refuse));
        const result = await ended;
        expect(result, JSON.stringify(result)).toMatchObject({ text: wholeText, outcome: "complete" });
    });

    // Guards against a stream that is broken off at a silence of its only attempt, since an earlier silent one has broken.
    it("breaks, and the next one falls silent and goes on", async () => {
        const silent = await start("silent", (prompt, socket) => {
            beginStream(socket, prompt);
            writeChunk(socket, formatEvent(1));
            setTimeout(() => socket.resetAndDestroy(), 1_700);
        });
        const other = await start("other", (prompt, socket) => {
            beginStream(socket, prompt);
            setTimeout(() => {
                [2, 3].forEach(id => writeChunk(socket, formatEvent(id)));
                endStream(socket);
            }, 2_000);
        });
        const { ended, host } = await send([silent, other], { attempts: 3 });
        await waitUntil(() => other.received.length === 1);
        host.publish(await start("third", refuse));
        const result = await ended;
        expect(result, JSON.stringify(result)).toMatchObject({ text: wholeText, outcome: "complete" });
    });

    // Guards against a stream that is closed although its route allows another attempt.
    it("goes on, breaks, and is resumed elsewhere if the route allows it", async () => {
        const silent = await start("silent", (prompt, socket) => {
            beginStream(socket, prompt);
            writeChunk(socket, formatEvent(1));
            setTimeout(() => writeChunk(socket, formatEvent(2)), 2_000);
            setTimeout(() => socket.resetAndDestroy(), 2_400);
        });
        const other = await start("other", () => undefined);
        const { ended, host } = await send([silent, other], { attempts: 3 });
        await waitUntil(() => other.received.length === 1);
        host.publish(
            await start("third", (prompt, socket) => {
                beginStream(socket, prompt);
                writeChunk(socket, formatEvent(3));
                endStream(socket);
            }),
        );
        const result = await ended;
        expect(result, JSON.stringify(result)).toMatchObject({ text: wholeText, outcome: "complete" });
    });

    // Guards against an answer of an endpoint that is replaced by a failure, since a silent attempt was there before.
    it("breaks before the next one answers with an error, which is passed on", async () => {
        const silent = await start("silent", (_prompt, socket) => {
            silent.isSilent = true;
            setTimeout(() => socket.resetAndDestroy(), 1_500);
        });
        const other = await start("other", (prompt, socket) => {
            setTimeout(() => writeAnswer(socket, prompt, 500, "{}"), 2_000);
        });
        const { ended } = await send([silent, other]);
        const result = await ended;
        expect(result, JSON.stringify(result)).toMatchObject({ status: 500, outcome: "passed_on" });
    });

    // Guards against a second stall check that releases the attempt once more, after which nobody waits for its end.
    it("repeats an event that the caller has while it is probed, and goes on", async () => {
        const first = await start("first", (prompt, socket) => {
            beginStream(socket, prompt);
            writeChunk(socket, formatEvent(1));
            setTimeout(() => socket.resetAndDestroy(), 200);
        });
        const silent = await start("silent", (prompt, socket) => {
            silent.isSilent = true;
            beginStream(socket, prompt);
            // The first probe is sent after some 300 ms and has no reply 300 ms later.
            [350, 400, 450, 500, 550].forEach(ms => setTimeout(() => writeChunk(socket, formatEvent(1)), ms));
            setTimeout(() => {
                [2, 3].forEach(id => writeChunk(socket, formatEvent(id)));
                endStream(socket);
            }, 4_000);
        });
        const { ended, host } = await send([first, silent], { attempts: 3 });
        await waitUntil(() => silent.received.length === 1);
        const other = await start("other", (prompt, socket) => {
            setTimeout(() => refuse(prompt, socket, 1), 2_500);
        });
        host.publish(other);
        // Another endpoint, so that the second check finds one that can take the stream.
        host.publish(await start("fourth", refuse));
        const result = await ended;
        expect(result, JSON.stringify(result)).toMatchObject({ text: wholeText, outcome: "complete" });
    });

    // Guards against work that placements do not see: the endpoint still has the request.
    it("keeps its assignment", async () => {
        const silent = await start("silent", (prompt, socket) => {
            beginStream(socket, prompt);
            writeChunk(socket, formatEvent(1));
            setTimeout(() => writeChunk(socket, formatEvent(2)), 2_000);
            setTimeout(() => {
                writeChunk(socket, formatEvent(3));
                endStream(socket);
            }, 3_000);
        });
        const other = await start("other", refuse);
        const { ended, host } = await send([silent, other]);
        await waitUntil(() => other.received.length === 1);
        await new Promise(resolve => setTimeout(resolve, 900));
        const own = host.host.context.assignmentRegistry.listLocal();
        expect(JSON.stringify(own)).toContain("silent");
        await ended;
    });

    // Guards against a stream that waits for an endpoint which has gone, although its route allows another attempt and
    // another endpoint is back.
    it("has gone, and another endpoint is back after it refused a connection", async () => {
        const silent = await start("silent", (prompt, socket) => {
            beginStream(socket, prompt);
            writeChunk(socket, formatEvent(1));
        });
        const gone = await start("gone", refuse);
        gone.close();
        const { ended, host } = await send([silent, gone]);
        await new Promise(resolve => setTimeout(resolve, 2_200));
        host.publish(
            await start("third", (prompt, socket) => {
                beginStream(socket, prompt);
                [2, 3].forEach(id => writeChunk(socket, formatEvent(id)));
                endStream(socket);
            }),
        );
        const result = await ended;
        expect(result, JSON.stringify(result)).toMatchObject({ text: wholeText, outcome: "complete" });
    });

    // Guards against a caller that may not send its request again although no endpoint has run it.
    it("states at last that it was not run, as the next one did", async () => {
        const silent = await start("silent", (prompt, socket, count) => {
            silent.isSilent = true;
            setTimeout(() => refuse(prompt, socket, count), 1_500);
        });
        const { ended } = await send([silent, await start("other", refuse)]);
        const result = await ended;
        expect(result, JSON.stringify(result)).toMatchObject({ status: 503, outcome: "not_run" });
    });
});
