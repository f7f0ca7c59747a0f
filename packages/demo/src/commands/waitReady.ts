import { requestJson } from "@currantrill/http";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { getOperatorUrl, getProcess, getUrl, type RunningSystem } from "../model/runningSystem.js";
import { listRevisions } from "../queries/readSystem.js";
import { hasEnded } from "./startProcess.js";

const POLL_MS = 25;
const LOG_LINES = 20;

/** Waits until a process serves requests. Rejects with the end of its log if it exits or takes too long. */
export async function waitReady(system: RunningSystem, name: string): Promise<void> {
    const { plan, child } = getProcess(system, name);
    const url = plan.role === "host" ? `${getOperatorUrl(system, name)}/readyz` : `${getUrl(system, name)}/ledger`;
    const deadlineMs = performance.now() + system.settings.readyTimeoutMs;
    while (performance.now() < deadlineMs) {
        system.settings.signal.throwIfAborted();
        if (hasEnded(child)) {
            throw new Error(`${name} ended before it was ready (${describeEnd(child)}):\n${readLogEnd(system, name)}`);
        }
        const response = await requestJson(url).catch(() => undefined);
        if (response?.status === 200) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    const limitMs = system.settings.readyTimeoutMs;
    throw new Error(`${name} was not ready within ${limitMs} ms:\n${readLogEnd(system, name)}`);
}

/** Waits until every running host has a revision in force. */
export async function waitForRevision(system: RunningSystem, revision: number): Promise<void> {
    const deadlineMs = performance.now() + system.settings.readyTimeoutMs;
    for (let revisions = await listRevisions(system);; revisions = await listRevisions(system)) {
        if ([...revisions.values()].every(value => value !== undefined && value >= revision)) {
            return;
        }
        if (performance.now() > deadlineMs) {
            const shown = [...revisions].map(([name, value]) => `${name}: ${value ?? "no answer"}`).join(", ");
            throw new Error(`revision ${revision} is not in force everywhere: ${shown}`);
        }
        system.settings.signal.throwIfAborted();
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}

const describeEnd = (child: { exitCode: number | null; signalCode: string | null; }): string =>
    child.exitCode === null ? `signal ${child.signalCode ?? ""}` : `exit code ${child.exitCode}`;

const readLogEnd = (system: RunningSystem, name: string): string =>
    readFileSync(join(system.directory, `${name}.log`), "utf8").trimEnd().split("\n").slice(-LOG_LINES).join("\n");
