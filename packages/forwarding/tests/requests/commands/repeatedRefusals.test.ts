/** Refusals on a connection that the host keeps: none may count for a request that an endpoint runs. */
import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import {
    faultRoutes,
    framings,
    getId,
    notRunStatuses,
    routeNames,
    sendRequest,
    startFaultySystem,
    wholeStream,
} from "../../faultFixture.js";
import { type TestHost, writeAnswer } from "../../hostFixture.js";

/** Longer than the delay of a copy, which then does not arrive together with the next case. */
const COPY_ARRIVAL_MS = 30;
const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

async function startSystem(...options: Parameters<typeof startFaultySystem>): Promise<TestHost> {
    const { host, close } = await startFaultySystem(...options);
    closers.push(close);
    return host;
}

describe("an endpoint that sends an earlier refusal again", () => {
    const buildRefusal = (more: string, status = 503): string => `HTTP/1.1 ${status} X\r\n${more}\r\n`;
    const EMPTY = "content-length: 0\r\n";
    const copies: Readonly<Record<string, (earlierId: string) => string>> = {
        "without an id": () => buildRefusal(`t-not-run: 1\r\n${EMPTY}`),
        "with a body": () => `${buildRefusal("t-not-run: 1\r\ncontent-length: 4\r\n")}busy`,
        "with the earlier id": id => buildRefusal(`t-id: ${id}\r\nt-not-run: 1\r\n${EMPTY}`),
        "with an empty id": () => buildRefusal(`t-id: \r\nt-not-run: 1\r\n${EMPTY}`),
        "421": () => buildRefusal(EMPTY, 421),
        "421 with the earlier id": id => buildRefusal(`t-id: ${id}\r\n${EMPTY}`, 421),
        "429": () => buildRefusal(EMPTY, 429),
        "408": () => buildRefusal(EMPTY, 408),
        "503 without a statement": () => buildRefusal(EMPTY),
        "503 without a statement, with the earlier id": id => buildRefusal(`t-id: ${id}\r\n${EMPTY}`),
    };
    const places: readonly {
        readonly place: string;
        readonly write: (socket: Socket, copy: string, answer: string) => void;
    }[] = [
        {
            place: "before the response",
            write: (socket, copy, answer) => {
                socket.write(copy);
                setTimeout(() => socket.write(answer), 10);
            },
        },
        { place: "together with the response", write: (socket, copy, answer) => void socket.write(copy + answer) },
        {
            place: "in the middle of the response",
            write: (socket, copy, answer) => void socket.write(answer.slice(0, answer.indexOf("\r\n\r\n") - 4) + copy),
        },
        {
            place: "after the response",
            write: (socket, copy, answer) => {
                socket.write(answer);
                setTimeout(() => socket.write(copy), 10);
            },
        },
        { place: "directly after the response", write: (socket, copy, answer) => void socket.write(answer + copy) },
        { place: "instead of the response", write: (socket, copy) => void socket.write(copy) },
    ];
    // Guards against the guarantee "not run" for a request that an endpoint runs, and against a second run of a request
    // that may not be repeated.
    it.each(
        routeNames.flatMap(name => [1, 2].map(attempts => ({ name, attempts })))
            .flatMap(each => Object.keys(copies).map(form => ({ ...each, form }))),
    )("makes no false promise: $name, $attempts attempts, $form", async ({ name, attempts, form }) => {
        const refusedIds = new Map<Socket, string>();
        const runs: string[] = [];
        let copyCount = 0;
        let write = places[0]?.write;
        const host = await startSystem({ ...faultRoutes[name], attempts }, (received, socket) => {
            // A copy is otherwise held back until the host's acknowledgement of the response, for 40 ms.
            socket.setNoDelay(true);
            const id = getId(received);
            if (id.startsWith("r")) {
                refusedIds.set(socket, id);
                writeAnswer(socket, received, 503, "", "t-not-run: 1\r\n");
                return;
            }
            runs.push(id);
            const answer = framings.chunked(received, wholeStream);
            const earlierId = refusedIds.get(socket);
            if (earlierId === undefined) {
                socket.write(answer);
                return;
            }
            copyCount += 1;
            write?.(socket, copies[form]?.(earlierId) ?? "", answer);
        }, attempts);
        for (const [index, { place, write: next }] of places.entries()) {
            write = next;
            expect((await sendRequest(host, `r${index}`)).status, place).toBe(503);
            const replies = [await sendRequest(host, `q${index}`), await sendRequest(host, `p${index}`)];
            for (const [which, { status, body, isComplete }] of replies.entries()) {
                const runCount = runs.filter(id => id === `${which === 0 ? "q" : "p"}${index}`).length;
                const context = `${place}, ${which}: ${status}, ${runCount} runs`;
                expect(notRunStatuses.includes(status) && runCount > 0, context).toBe(false);
                expect(runCount, context).toBeLessThanOrEqual(name.startsWith("once") ? 1 : attempts);
                expect(status !== 200 || !isComplete || body === wholeStream, context).toBe(true);
            }
            await sleep(COPY_ARRIVAL_MS);
        }
        // A request that may run once has a connection of its own, on which there is no earlier refusal.
        expect(copyCount >= places.length).toBe(!name.startsWith("once"));
    });
    // Guards against the same for a caller that sends the refused request again under its id, or uses none.
    it.each(
        (["call", "stream"] as const).flatMap(name => ["q1", ""].map(id => ({ name, id }))),
    )("makes no false promise for a repeated id: $name '$id'", async ({ name, id }) => {
        const refusal = buildRefusal(`t-id: ${id}\r\nt-not-run: 1\r\n${EMPTY}`);
        let refusedOn: Socket | undefined;
        let copyCount = 0;
        const host = await startSystem({ ...faultRoutes[name], attempts: 1 }, (_received, socket) => {
            copyCount += refusedOn === socket ? 1 : 0;
            refusedOn ??= socket;
            socket.write(refusal);
        });
        expect((await sendRequest(host, id)).status).toBe(503);
        expect((await sendRequest(host, id)).status).toBe(502);
        expect(copyCount).toBe(1);
    });
    // Guards against ids that are kept without end, and against a request that counts as run when its connection is closed.
    it("keeps the connection for some refusals that name their request, and closes it then", async () => {
        const sockets = new Set<Socket>();
        const host = await startSystem({ ...faultRoutes.call, attempts: 1 }, (received, socket) => {
            sockets.add(socket);
            writeAnswer(socket, received, 503, "", "t-not-run: 1\r\n");
        });
        for (let count = 0; count < 130; count += 1) {
            expect((await sendRequest(host, `q${count}`)).status).toBe(503);
        }
        expect(sockets.size).toBe(3);
    });
});

describe("an endpoint that answers with a status which means that the request was not run", () => {
    // Guards against the guarantee "not run" by an endpoint that does not state it, or after another one ran the request.
    it.each(
        routeNames.flatMap(name => notRunStatuses.filter(status => status !== 421).map(status => ({ name, status })))
            .flatMap(each => [1, 2].map(attempts => ({ ...each, attempts }))),
    )("is not taken at its word: $name $status, $attempts attempts", async ({ name, status, attempts }) => {
        let count = 0;
        const host = await startSystem({ ...faultRoutes[name], attempts }, (received, socket) => {
            count += 1;
            if (count < attempts) {
                socket.destroy();
                return;
            }
            writeAnswer(socket, received, status, "busy");
        }, attempts);
        expect((await sendRequest(host, "q1")).status).toBe(502);
        expect(count).toBe(name.startsWith("once") ? 1 : attempts);
    });
});
