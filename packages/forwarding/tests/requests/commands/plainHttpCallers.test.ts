/** Streams to callers that speak HTTP/1.0 and read no chunks. */
import { connect } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { faultRoutes, type FaultySystem, framings, startFaultySystem, wholeStream } from "../../faultFixture.js";
import { beginStream, type EndpointScript, formatEvent, writeChunk } from "../../hostFixture.js";

let system: FaultySystem | undefined;
afterEach(async () => {
    await system?.close();
    system = undefined;
});

/** Sends a request as HTTP/1.0, and returns all bytes of the response until its connection ends. */
function fetchPlain({ host }: FaultySystem, version = "1.0", more = ""): Promise<string> {
    const [ip = "", port = "0"] = host.listen.callers.split(":");
    const socket = connect({ host: ip, port: Number(port) });
    let text = "";
    socket.on("data", chunk => {
        text += String(chunk);
    });
    socket.write(`GET /r/x HTTP/${version}\r\nhost: desk.example\r\nt-id: q1\r\n${more}\r\n`);
    return new Promise(resolve => {
        socket.once("error", () => undefined);
        socket.once("close", () => resolve(text));
    });
}

/** Sends one of three events and then ends in a way. */
const breakOff = (end: "resetAndDestroy" | "destroy"): EndpointScript => (received, socket) => {
    beginStream(socket, received);
    writeChunk(socket, formatEvent(1));
    setTimeout(() => void socket[end](), 20);
};

const whole: EndpointScript = (received, socket) => void socket.end(framings.chunked(received, wholeStream));

describe("a stream to a caller without chunks", () => {
    // Guards against a part of a stream that looks complete, because nothing but the end of the connection delimits it.
    it.each(["resetAndDestroy", "destroy"] as const)("is refused if it breaks off: %s", async end => {
        system = await startFaultySystem(faultRoutes.onceStream, breakOff(end));
        const text = await fetchPlain(system);
        expect(text).toMatch(/^HTTP\/1\.1 502 /);
        expect(text).not.toContain("data: e1");
    });
    // Guards against a stream that could be finished elsewhere.
    it("is resumed at another endpoint", async () => {
        let count = 0;
        system = await startFaultySystem({ ...faultRoutes.stream, attempts: 3 }, (received, socket, all) => {
            count += 1;
            (count === 1 ? breakOff("destroy") : whole)(received, socket, all);
        }, 2);
        const text = await fetchPlain(system);
        expect(text).toContain(`content-length: ${wholeStream.length}\r\n`);
        expect(text.endsWith(`\r\n\r\n${wholeStream}`)).toBe(true);
    });
    // Guards against a whole stream that a caller cannot tell from a part.
    it.each([
        { version: "1.0", more: "", framing: `content-length: ${wholeStream.length}` },
        { version: "1.0", more: "te: chunked\r\n", framing: "transfer-encoding: chunked" },
        { version: "1.1", more: "connection: close\r\n", framing: "transfer-encoding: chunked" },
    ])("states its end: HTTP/$version $more", async ({ version, more, framing }) => {
        system = await startFaultySystem(faultRoutes.onceStream, whole);
        const text = await fetchPlain(system, version, more);
        expect(text).toMatch(/^HTTP\/1\.1 200 /);
        expect(text.toLowerCase()).toContain(framing);
        expect(text.replace(/\r\n[0-9a-f]+\r\n/g, "")).toContain("data: e3");
    });
    // Guards against a stream without end that takes the memory of the host.
    it("is refused if the host cannot hold it", async () => {
        system = await startFaultySystem(faultRoutes.onceStream, (received, socket) => {
            beginStream(socket, received);
            for (let id = 1; id < 4_000; id += 1) {
                writeChunk(socket, `id: ${id}\ndata: ${"x".repeat(100)}\n\n`);
            }
        });
        expect(await fetchPlain(system)).toMatch(/^HTTP\/1\.1 502 /);
        expect(system.host.host.context.exchanges.size).toBe(0);
    });
});
