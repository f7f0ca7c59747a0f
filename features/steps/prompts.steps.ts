/** Steps that send prompts, check their answers, and inject faults into the engines that run them. */
import { Then, When } from "@cucumber/cucumber";
import {
    DEMO_WORKSPACES,
    killProcess,
    type PromptResult,
    readLedger,
    sendPrompt,
    setFault,
    setFrozen,
    setLinkModes,
} from "@currantrill/demo";
import assert from "node:assert/strict";
import { findRunningEngine, listEngines, readPromptStarts } from "./engineLedgers.js";
import { type SystemWorld, waitFor } from "./systemWorld.js";

const workspaceKey = DEMO_WORKSPACES[0].key;

When("a caller sends prompt {word} of {int} tokens to {word}", function(
    this: SystemWorld,
    name: string,
    promptTokens: number,
    host: string,
) {
    this.addPrompt(name, sendPrompt({ url: this.getHostUrl(host), workspaceKey, promptTokens }));
});

When("a caller streams prompt {word} of {int} tokens with an answer of {int} from {word}", function(
    this: SystemWorld,
    name: string,
    promptTokens: number,
    maxTokens: number,
    host: string,
) {
    const url = this.getHostUrl(host);
    this.addPrompt(name, sendPrompt({ url, workspaceKey, promptTokens, maxTokens, stream: true }));
});

When("{int} prompts are sent to each of {word} and {word}", async function(
    this: SystemWorld,
    count: number,
    host: string,
    other: string,
) {
    const results = await Promise.all(
        [host, other].flatMap(name =>
            Array.from(
                { length: count },
                () => sendPrompt({ url: this.getHostUrl(name), workspaceKey, promptTokens: 100, maxTokens: 2 }),
            )
        ),
    );
    assert.deepEqual(results.filter(result => !result.isComplete).map(result => result.detail), []);
});

When("an engine has started a prompt", async function(this: SystemWorld) {
    await waitFor(async () => {
        const running = await findRunningEngine(this);
        assert.ok(running, "no engine has started a prompt");
    });
});

When("the engine that runs the prompt is {word}", async function(this: SystemWorld, faultName: string) {
    const engine = await findRunningEngine(this);
    assert.ok(engine, "no engine is running a prompt");
    await injectFault(this, engine, faultName);
});

When("the link between {word} and the engine that runs the prompt is cut", async function(
    this: SystemWorld,
    host: string,
) {
    const engine = await findRunningEngine(this);
    assert.ok(engine, "no engine is running a prompt");
    setLinkModes(this.getSystem(), [host], [engine], "stall");
});

When("an engine that holds memory without running the prompt is {word}", async function(
    this: SystemWorld,
    faultName: string,
) {
    const leadEngine = await findRunningEngine(this);
    const enginesWithMemory = await listEnginesWithMemory(this);
    const member = enginesWithMemory.find(engine => engine !== leadEngine);
    assert.ok(
        member,
        `no engine other than the lead engine ${leadEngine ?? "(none)"} holds memory; engines that hold memory: ${
            enginesWithMemory.join(", ")
        }`,
    );
    await injectFault(this, member, faultName);
});

/** Injects the fault that the step names: `killed`, `frozen` or `silent`. */
async function injectFault(world: SystemWorld, engine: string, faultName: string): Promise<void> {
    const system = world.getSystem();
    switch (faultName) {
        case "killed":
            return killProcess(system, engine);
        case "frozen":
            return setFrozen(system, engine, true);
        case "silent":
            return setFault(system, engine, { kind: "silent", durationMs: 600_000 });
        default:
            assert.fail(`unknown fault ${faultName}`);
    }
}

/** Lists the running engines that hold allocations. */
async function listEnginesWithMemory(world: SystemWorld): Promise<string[]> {
    const engines = listEngines(world);
    const ledgers = await Promise.all(engines.map(engine => readLedger(world.getSystem(), engine)));
    return engines.filter((_engine, index) => (ledgers[index]?.held.length ?? 0) > 0);
}

const getPrompt = (world: SystemWorld, name: string): Promise<PromptResult> => {
    const prompt = world.prompts.get(name);
    assert.ok(prompt, `the scenario has sent no prompt ${name}`);
    return prompt;
};

Then("prompt {word} has its whole answer", async function(this: SystemWorld, name: string) {
    const result = await getPrompt(this, name);
    assert.ok(result.isComplete, `status ${result.status}: ${result.detail}`);
});

Then("prompt {word} was run on {int} engine(s)", async function(this: SystemWorld, name: string, count: number) {
    const { requestId } = await getPrompt(this, name);
    const starts = await readPromptStarts(this);
    assert.equal(new Set(starts.filter(start => start.requestId === requestId).map(start => start.engine)).size, count);
});

Then("prompt {word} is refused as not run", async function(this: SystemWorld, name: string) {
    const result = await getPrompt(this, name);
    assert.equal(result.outcome, "not_run", `status ${result.status}: ${result.detail}`);
});

Then("the connection of prompt {word} breaks", async function(this: SystemWorld, name: string) {
    const result = await getPrompt(this, name).catch(() => undefined);
    assert.notEqual(result?.isComplete, true, "the answer is complete although the connection should break");
});
