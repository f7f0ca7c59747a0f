/** Reserves free ports for programs whose addresses have to be known before they start. */
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/**
 * First port of the searched range, which lies below the ephemeral ports. An ephemeral port could be taken by an
 * outgoing connection between the search and its use.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Directory with one file per reserved port, which contains the id of the process that reserved it. */
const RESERVATION_DIRECTORY = join(tmpdir(), "currantrill-ports");

/** Ports that this process has reserved. */
const reserved = new Set<number>();

/**
 * Finds free ports on 127.0.0.1 and reserves them until this process exits. Without reservations, two systems that
 * started at the same time found the same ports, and hosts of one system connected to the platform of the other.
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    let offset = Math.floor(Math.random() * PORT_COUNT);
    while (ports.length < count) {
        const port = FIRST_PORT + offset;
        offset = (offset + 1) % PORT_COUNT;
        if (reservePort(port) && await isPortFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

/** Creates the reservation file of a port. Returns false if another process has reserved the port. */
function reservePort(port: number): boolean {
    mkdirSync(RESERVATION_DIRECTORY, { recursive: true });
    const file = getReservationFile(port);
    try {
        writeFileSync(file, String(process.pid), { flag: "wx" });
    }
    catch {
        removeStaleReservation(file);
        return false;
    }
    if (reserved.size === 0) {
        process.once("exit", releasePorts);
    }
    reserved.add(port);
    return true;
}

/** Removes the reservation of a process that no longer exists. A later search can then reserve the port. */
function removeStaleReservation(file: string): void {
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

const getReservationFile = (port: number): string => join(RESERVATION_DIRECTORY, String(port));

function isPortFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
