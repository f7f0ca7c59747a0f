/** Checks of `npm start -- --once`. */
import { callerHeaders } from "@currantrill/protocol";
import { getUrl, listProcesses, type RunningSystem } from "../model/runningSystem.js";
import { DEMO_WORKSPACES } from "../model/systemOptions.js";
import { readLedger, sumAllocatedTokens } from "../queries/readSystem.js";
import { sendDispatch } from "./sendDispatch.js";
import { type PromptOptions, sendPrompt } from "./sendPrompt.js";

const workspaceKey = DEMO_WORKSPACES[0].key;
const DISPATCH_KEY = "demo-dispatch-1";
const MEMORY_POLL_MS = 50;
const MAX_MEMORY_POLLS = 200;

/** One named check of a running system. */
interface Check {
    readonly name: string;
    /** Resolves to a description of the failure, or to `undefined` on success. */
    readonly run: (system: RunningSystem) => Promise<string | undefined>;
}

const checks: readonly Check[] = [
    { name: "short prompt", run: system => checkPrompt(system, { promptTokens: 20 }) },
    { name: "streamed prompt", run: system => checkPrompt(system, { promptTokens: 20, stream: true }) },
    {
        name: "prompt longer than twice an engine's memory",
        run: system => checkPrompt(system, { promptTokens: Math.floor(2.25 * system.settings.engineMemoryTokens) }),
    },
    { name: "one dispatch sent to two hosts with one key runs once", run: checkDispatch },
    { name: "engines hold no memory", run: checkMemory },
    { name: "every host drains and exits with code 0", run: checkDrain },
];

/** Runs all checks in order and prints each result; the last check stops the system. Resolves to the failed checks' names. */
export async function runOnce(system: RunningSystem): Promise<string[]> {
    const failures: string[] = [];
    for (const check of checks) {
        const failure = await check.run(system).catch((error: unknown) => String(error));
        if (failure === undefined) {
            process.stdout.write(`ok     ${check.name}\n`);
            continue;
        }
        process.stdout.write(`FAILED ${check.name}: ${failure}\n`);
        failures.push(check.name);
    }
    return failures;
}

const getHostUrl = (system: RunningSystem, index: number): string =>
    getUrl(system, listProcesses(system, "host").at(index)?.plan.name ?? "");

async function checkPrompt(
    system: RunningSystem,
    options: Pick<PromptOptions, "promptTokens" | "stream">,
): Promise<string | undefined> {
    const result = await sendPrompt({ url: getHostUrl(system, 0), workspaceKey, ...options });
    return result.isComplete ? undefined : `status ${result.status}, ${result.detail}`;
}

async function checkDispatch(system: RunningSystem): Promise<string | undefined> {
    const send = (index: number) =>
        sendDispatch({ url: getHostUrl(system, index), workspaceKey, idempotencyKey: DISPATCH_KEY });
    const answers = [await send(0), await send(-1)];
    const service = listProcesses(system, "service")[0]?.plan.name ?? "";
    const { entries } = await readLedger(system, service);
    const executions = entries.filter(entry => entry.action === "POST /dispatch").length;
    if (executions !== 1) {
        return `the service's ledger shows ${executions} executions`;
    }
    const outcomes = answers.map(answer => `${answer.status} ${String(answer.headers[callerHeaders.outcome])}`);
    const bodies = answers.map(answer => JSON.stringify(answer.body));
    return outcomes.every(outcome => outcome === "200 answered") && bodies[0] === bodies[1]
        ? undefined
        : `answers: ${outcomes.map((outcome, index) => `${outcome} ${bodies[index] ?? ""}`).join("; ")}`;
}

/** Polls until the engines hold no allocation. Reports the tokens that are still held after the last poll. */
async function checkMemory(system: RunningSystem): Promise<string | undefined> {
    for (let poll = 0; poll < MAX_MEMORY_POLLS; poll += 1) {
        if (await sumAllocatedTokens(system) === 0) {
            return undefined;
        }
        await new Promise(resolve => setTimeout(resolve, MEMORY_POLL_MS));
    }
    return `${await sumAllocatedTokens(system)} tokens are still held`;
}

async function checkDrain(system: RunningSystem): Promise<string | undefined> {
    const failedExits = (await system.stop()).filter(exit => exit.code !== 0);
    return failedExits.length === 0
        ? undefined
        : failedExits.map(exit => `${exit.name} exited with ${exit.code}`).join(", ");
}
