/** Free ports for programs that have to know their addresses before they start. */
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/**
 * Ports below the range that operating systems use for outgoing connections. A port of that range could be taken by
 * an outgoing connection between the search and its use.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Holds one file for each port in use, with the id of the process that reserved it. */
const RESERVATIONS = join(tmpdir(), "currantrill-ports");

const reserved = new Set<number>();

/**
 * Reserves ports on 127.0.0.1 until this process exits. Without a reservation two systems that started at the same time
 * found the same ports, and the hosts of one talked to the platform of the other.
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    let offset = Math.floor(Math.random() * PORT_COUNT);
    while (ports.length < count) {
        const port = FIRST_PORT + offset;
        offset = (offset + 1) % PORT_COUNT;
        if (reservePort(port) && await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

/** Creates the port's file, which fails if another process has it. */
function reservePort(port: number): boolean {
    mkdirSync(RESERVATIONS, { recursive: true });
    const file = getReservationFile(port);
    try {
        writeFileSync(file, String(process.pid), { flag: "wx" });
    }
    catch {
        dropAbandoned(file);
        return false;
    }
    if (reserved.size === 0) {
        process.once("exit", releasePorts);
    }
    reserved.add(port);
    return true;
}

/** Removes the file of a process that was killed. The port is used again by a later search. */
function dropAbandoned(file: string): void {
    try {
        process.kill(Number(readFileSync(file, "utf8")), 0);
    }
    catch {
        rmSync(file, { force: true });
    }
}

function releasePorts(): void {
    reserved.forEach(port => rmSync(getReservationFile(port), { force: true }));
}

const getReservationFile = (port: number): string => join(RESERVATIONS, String(port));

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
