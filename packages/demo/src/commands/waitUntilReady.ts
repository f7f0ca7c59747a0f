import { requestJson } from "@currantrill/http";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { getOperatorUrl, getProcess, getUrl, type RunningSystem } from "../model/runningSystem.js";
import { listRevisions } from "../queries/readSystem.js";
import { hasExited } from "./startProcess.js";

const POLL_MS = 25;
/** Number of log lines in an error message. */
const LOG_TAIL_LINES = 20;

/**
 * Waits until a process serves requests. Rejects with the last lines of its log if it exits first, or if it is not ready
 * within `readyTimeoutMs`.
 */
export async function waitUntilReady(system: RunningSystem, name: string): Promise<void> {
    const { plan, child } = getProcess(system, name);
    const url = plan.role === "host" ? `${getOperatorUrl(system, name)}/readyz` : `${getUrl(system, name)}/ledger`;
    const deadlineMs = performance.now() + system.settings.readyTimeoutMs;
    while (performance.now() < deadlineMs) {
        system.settings.signal.throwIfAborted();
        if (hasExited(child)) {
            throw new Error(
                `${name} exited before it was ready (${describeExit(child)}):\n${readLogTail(system, name)}`,
            );
        }
        const response = await requestJson(url).catch(() => undefined);
        if (response?.status === 200) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    const limitMs = system.settings.readyTimeoutMs;
    throw new Error(`${name} was not ready within ${limitMs} ms:\n${readLogTail(system, name)}`);
}

/**
 * Waits until every running host has this or a later configuration revision in force. Rejects after `readyTimeoutMs`
 * with the revision of each host.
 */
export async function waitForRevision(system: RunningSystem, revision: number): Promise<void> {
    const deadlineMs = performance.now() + system.settings.readyTimeoutMs;
    for (let revisions = await listRevisions(system);; revisions = await listRevisions(system)) {
        if ([...revisions.values()].every(value => value !== undefined && value >= revision)) {
            return;
        }
        if (performance.now() > deadlineMs) {
            const revisionList = [...revisions].map(([name, value]) => `${name}: ${value ?? "no response"}`).join(", ");
            throw new Error(`revision ${revision} is not in force everywhere: ${revisionList}`);
        }
        system.settings.signal.throwIfAborted();
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}

const describeExit = (child: { exitCode: number | null; signalCode: string | null; }): string =>
    child.exitCode === null ? `signal ${child.signalCode ?? ""}` : `exit code ${child.exitCode}`;

const readLogTail = (system: RunningSystem, name: string): string =>
    readFileSync(join(system.directory, `${name}.log`), "utf8").trimEnd().split("\n").slice(-LOG_TAIL_LINES).join("\n");
