/** A sound server in a process of its own, which answers without a length or chunks, and ends each answer with its connection. */
import { createServer } from "node:http";

/** Time between the two parts of an answer, in milliseconds. */
const PART_GAP_MS = Number(process.env.PART_GAP_MS ?? 600);
const BACKLOG = 1;

const id = process.env.SERVER_ID ?? "";
const tell = message => process.send?.(message);

const parts = {
    call: requestId => [`first half of the answer to ${requestId};`, `second half of the answer to ${requestId}`],
    stream: requestId => [
        `id: 1\ndata: ${requestId} 1\n\nid: 2\ndata: ${requestId} 2\n\n`,
        `id: 3\ndata: ${requestId} 3\n\nid: 4\ndata: ${requestId} 4\n\n`,
    ],
};

const server = createServer((request, response) => {
    request.resume();
    request.on("end", () => {
        if (request.url === "/-/report" || request.url === "/health") {
            response.writeHead(200, { "content-type": "application/json", "instance-id": id }).end("{}");
            return;
        }
        const requestId = request.headers["request-id"];
        if (request.headers["expected-instance"] !== id) {
            response.writeHead(421, { "instance-id": id }).end();
            return;
        }
        const kind = request.url.startsWith("/streaming/") ? "stream" : "call";
        const [first, second] = parts[kind](requestId);
        tell({ event: "runs", requestId, whole: first + second });
        const { socket } = request;
        const type = kind === "stream" ? "text/event-stream" : "text/plain";
        socket.write(
            `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Signature: ${id}.${requestId}\r\n`
                + `Content-Type: ${type}\r\nConnection: close\r\n\r\n${first}`,
        );
        tell({ event: "half", requestId });
        setTimeout(() => {
            socket.end(second);
            tell({ event: "whole", requestId });
        }, PART_GAP_MS);
    });
});
server.on("clientError", (_error, socket) => socket.destroy());
server.listen(
    { port: Number(process.env.SERVER_PORT), host: "127.0.0.1", backlog: BACKLOG },
    () => tell({ event: "listens" }),
);
process.on("disconnect", () => process.exit(0));
