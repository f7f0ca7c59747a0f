/** Client that sends requests over a raw connection and reads the whole answer. */
import { connect } from "node:net";
import { KEY, now } from "./system.mjs";

let count = 0;
export const createId = () => `${process.pid.toString(16)}${(count += 1).toString(16).padStart(8, "0")}`;

/** Builds the bytes of a request. */
export function buildRequest({ id, method = "POST", path, headers = {}, body = "", deadlineMs = 3_000, key = KEY }) {
    const lines = {
        host: "desk.example",
        "request-id": id,
        "deadline-milliseconds": String(deadlineMs),
        authorization: `Bearer ${key}`,
        ...(body.length > 0 || method === "POST" ? { "content-length": String(Buffer.byteLength(body)) } : {}),
        ...headers,
    };
    const head = Object.entries(lines).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return Buffer.from(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`, "latin1");
}

/** Parses one answer from bytes. `isComplete` is by its framing. */
export function parseAnswer(bytes, method = "POST") {
    const end = bytes.indexOf("\r\n\r\n");
    if (end < 0) {
        return { isComplete: false, headers: {}, body: Buffer.alloc(0) };
    }
    const [first, ...lines] = bytes.subarray(0, end).toString("latin1").split("\r\n");
    const headers = Object.fromEntries(lines.map(line => {
        const at = line.indexOf(":");
        return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
    }));
    const status = Number(first.split(" ")[1]);
    const rest = bytes.subarray(end + 4);
    if (status < 200) {
        return { ...parseAnswer(rest, method), informational: status };
    }
    if (headers["transfer-encoding"] === "chunked") {
        const pieces = [];
        let at = 0;
        for (;;) {
            const lineEnd = rest.indexOf("\r\n", at);
            if (lineEnd < 0) {
                return { status, headers, body: Buffer.concat(pieces), isComplete: false };
            }
            const size = Number.parseInt(rest.subarray(at, lineEnd).toString("latin1"), 16);
            const start = lineEnd + 2;
            if (size === 0) {
                const isComplete = rest.length >= start + 2;
                return {
                    status,
                    headers,
                    body: Buffer.concat(pieces),
                    isComplete,
                    extra: rest.subarray(start + 2),
                };
            }
            pieces.push(rest.subarray(start, start + size));
            if (rest.length < start + size + 2) {
                return { status, headers, body: Buffer.concat(pieces), isComplete: false };
            }
            at = start + size + 2;
        }
    }
    const length = method === "HEAD" ? 0 : Number(headers["content-length"] ?? 0);
    return {
        status,
        headers,
        body: rest.subarray(0, length),
        isComplete: rest.length >= length,
        extra: rest.subarray(length),
    };
}

/**
 * Sends a request on a new connection. Resolves when the answer is complete, the connection has ended, or the time is up.
 */
export function send(host, request, { limitMs = 5_000 } = {}) {
    const sent = { id: createId(), ...request };
    return new Promise(resolve => {
        const startedAtMs = now();
        const socket = connect({ host: host.ip, port: host.callersPort });
        const chunks = [];
        let cause = "limit";
        let isDone = false;
        const finish = () => {
            if (!isDone) {
                isDone = true;
                clearTimeout(timer);
                socket.destroy();
                const answer = parseAnswer(Buffer.concat(chunks), sent.method);
                resolve({ id: sent.id, host: host.name, startedAtMs, endedAtMs: now(), cause, ...answer });
            }
        };
        const timer = setTimeout(finish, limitMs);
        socket.on("connect", () => socket.write(buildRequest(sent)));
        socket.on("data", chunk => {
            chunks.push(chunk);
            if (parseAnswer(Buffer.concat(chunks), sent.method).isComplete) {
                cause = "answer";
                finish();
            }
        });
        socket.on("error", error => {
            cause = error.code;
        });
        socket.on("close", () => {
            cause = cause === "limit" ? "closed" : cause;
            finish();
        });
    });
}
