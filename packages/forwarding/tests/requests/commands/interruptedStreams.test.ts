/** Streams that one endpoint interrupts and the next one does not continue. */
import { describe, expect, it } from "vitest";
import {
    buildHead,
    chunkedHead,
    faultRoutes,
    formatChunk,
    framings,
    getId,
    type Reply,
    sendRequest,
    startFaultySystem,
    wholeStream,
} from "../../faultFixture.js";
import { formatEvent, type ReceivedRequest } from "../../hostFixture.js";

describe("an interrupted stream whose next endpoint answers with something else", () => {
    const TEXT = "Error-Text";
    const json = JSON.stringify({ error: TEXT });
    const type = "content-type: application/json\r\n";
    const answers: Readonly<Record<string, (received: ReceivedRequest) => string>> = {
        "503, not run": r => `${buildHead(r, `t-not-run: 1\r\ncontent-length: 10\r\n\r\n`, "503 X")}${TEXT}`,
        "503": r => `${buildHead(r, "content-length: 10\r\n\r\n", "503 X")}${TEXT}`,
        "500": r => `${buildHead(r, "content-length: 10\r\n\r\n", "500 X")}${TEXT}`,
        "500 as events": r => `${buildHead(r, chunkedHead, "500 X")}${formatChunk(`data: ${TEXT}\n\n`)}0\r\n\r\n`,
        "500 without an end": r => `${buildHead(r, "content-length: 30\r\n\r\n", "500 X")}${TEXT}`,
        "421": r => `${buildHead(r, "content-length: 10\r\n\r\n", "421 X")}${TEXT}`,
        "401": r => `${buildHead(r, "content-length: 10\r\n\r\n", "401 X")}${TEXT}`,
        "404 without an id": () => `HTTP/1.1 404 X\r\ncontent-length: 10\r\n\r\n${TEXT}`,
        "302": r => buildHead(r, `location: /${TEXT}\r\ncontent-length: 0\r\n\r\n`, "302 X"),
        "200 with an error body": r => `${buildHead(r, `${type}content-length: ${json.length}\r\n\r\n`)}${json}`,
        "200 with an error body and an empty line": r =>
            `${buildHead(r, `${type}content-length: ${json.length + 2}\r\n\r\n`)}${json}\n\n`,
        "200 with an error body in chunks": r =>
            `${buildHead(r, `${type}transfer-encoding: chunked\r\n\r\n`)}${formatChunk(`${json}\n\n`)}0\r\n\r\n`,
        "200 with an error body that looks like an event": r =>
            `${buildHead(r, `${type}transfer-encoding: chunked\r\n\r\n`)}${formatChunk(`data: ${json}\n\n`)}0\r\n\r\n`,
        "200 with an error body without a type": r =>
            `${buildHead(r, `content-length: ${json.length + 2}\r\n\r\n`)}${json}\n\n`,
        "200 with an empty body": r => buildHead(r, `${type}content-length: 0\r\n\r\n`),
        "204": r => buildHead(r, "\r\n", "204 No Content"),
        "204 with a length": r => buildHead(r, "content-length: 0\r\n\r\n", "204 No Content"),
        "200 of another request": () =>
            `HTTP/1.1 200 OK\r\nt-id: other\r\nt-signature: s\r\n${chunkedHead}${
                formatChunk(`data: ${TEXT}\n\n`)
            }0\r\n\r\n`,
        "200 without a signature": r =>
            `HTTP/1.1 200 OK\r\nt-id: ${getId(r)}\r\n${chunkedHead}${formatChunk(`data: ${TEXT}\n\n`)}0\r\n\r\n`,
        "a head that breaks off": r => buildHead(r, "content-ty"),
        "an early hint and a head that breaks off": r => `HTTP/1.1 103 X\r\n\r\n${buildHead(r, "content-ty")}`,
        "garbage": () => `\u0000${TEXT}\r\n\r\n`,
        "nothing": () => "",
    };
    const begin = (received: ReceivedRequest): string => buildHead(received, chunkedHead);
    const breaks: Readonly<Record<string, (received: ReceivedRequest) => string>> = {
        "before its first event": begin,
        "after an event": r => begin(r) + formatChunk(formatEvent(1)),
        "inside an event": r => begin(r) + formatChunk(`${formatEvent(1)}id: 2\nda`),
        "inside a chunk": r => begin(r) + formatChunk(formatEvent(1)).slice(0, -4),
        "before its last chunk": r => begin(r) + formatChunk(wholeStream),
    };
    const answerRest = (received: ReceivedRequest): string =>
        framings.chunked(
            received,
            [1, 2, 3].filter(id => id > Number(received.headers["t-last"] ?? 0)).map(formatEvent).join(""),
        );
    const runCase = async (
        interrupt: (received: ReceivedRequest) => string,
        answer: ((received: ReceivedRequest) => string) | undefined,
        { attempts, isReused }: { readonly attempts: number; readonly isReused: boolean; },
    ): Promise<{ reply: Reply; received: number; }> => {
        const scripts = [interrupt, answer, answerRest];
        let received = 0;
        const { host, close } = await startFaultySystem({ ...faultRoutes.stream, attempts }, (next, socket) => {
            if (getId(next).startsWith("w")) {
                setTimeout(() => socket.write(answerRest(next)), 20);
                return;
            }
            const text = scripts[received]?.(next) ?? "";
            received += 1;
            socket.write(text);
            if (received < scripts.length) {
                setTimeout(() => socket.end(), 5);
            }
        }, 3);
        if (isReused) {
            await Promise.all(["w1", "w2", "w3", "w4", "w5", "w6"].map(id => sendRequest(host, id)));
        }
        const reply = await sendRequest(host, "q1");
        await close();
        return { reply, received };
    };
    // Guards against the text or the head of an error in a stream, an end that looks regular, and events that are missing
    // or sent twice. The endpoints' connections are new, or carried another stream before.
    it.each(
        Object.keys(answers).flatMap(answer => [2, 3].map(attempts => ({ answer, attempts }))),
    )("passes on only the stream: $answer, $attempts attempts", async ({ answer, attempts }) => {
        const cases = Object.entries(breaks)
            .flatMap(([place, interrupt]) => [false, true].map(isReused => ({ place, interrupt, isReused })));
        await Promise.all(cases.map(async ({ place, interrupt, isReused }) => {
            const { reply, received } = await runCase(interrupt, answers[answer], { attempts, isReused });
            const context = `${place}, ${isReused ? "reused" : "new"}: ${JSON.stringify(reply)}`;
            expect(reply.status, context).toBe(200);
            expect(reply.body, context).not.toMatch(/Error-Text|HTTP\/1|t-id/);
            expect(wholeStream.startsWith(reply.body), context).toBe(true);
            expect(reply.isComplete, context).toBe(attempts === 3);
            expect(!reply.isComplete || reply.body === wholeStream, context).toBe(true);
            expect(received, context).toBe(attempts);
        }));
    }, 30_000);
});
