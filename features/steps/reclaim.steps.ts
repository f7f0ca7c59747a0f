/** Steps that check which engines start new prompts. */
import { Then, When } from "@cucumber/cucumber";
import { getProcess } from "@currantrill/demo";
import assert from "node:assert/strict";
import { type PromptStart, readPromptStarts } from "./engineLedgers.js";
import type { SystemWorld } from "./systemWorld.js";

When("{int} s have passed", async function(this: SystemWorld, seconds: number) {
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
});

When("the starts of prompts are noted", async function(this: SystemWorld) {
    this.recordedStarts = await readPromptStarts(this);
});

Then("{word} has started no prompt since", async function(this: SystemWorld, engine: string) {
    assert.equal(await countNewStarts(this, engine), 0);
});

Then("{word} has started prompts since", async function(this: SystemWorld, engine: string) {
    assert.notEqual(await countNewStarts(this, engine), 0);
});

Then("{int} prompts have started since, none of them in failure domain {word}", async function(
    this: SystemWorld,
    count: number,
    domain: string,
) {
    const starts = await listNewStarts(this);
    assert.deepEqual(starts.filter(start => getFailureDomain(this, start) === domain), []);
    assert.equal(new Set(starts.map(start => start.requestId)).size, count);
});

Then("failure domain {word} has started prompts since", async function(this: SystemWorld, domain: string) {
    const starts = await listNewStarts(this);
    assert.ok(starts.some(start => getFailureDomain(this, start) === domain), JSON.stringify(starts));
});

const getFailureDomain = (world: SystemWorld, { engine }: PromptStart): string =>
    getProcess(world.getSystem(), engine).plan.failureDomain;

/** Lists the starts of prompts on all engines since the starts were recorded. */
async function listNewStarts(world: SystemWorld): Promise<PromptStart[]> {
    const toText = ({ engine, seq }: PromptStart): string => `${engine}/${seq}`;
    const recorded = new Set(world.recordedStarts.map(toText));
    return (await readPromptStarts(world)).filter(start => !recorded.has(toText(start)));
}

/** Counts the prompts that an engine has started since the starts were recorded. */
async function countNewStarts(world: SystemWorld, engine: string): Promise<number> {
    const recordedCount = world.recordedStarts.filter(start => start.engine === engine).length;
    return (await readPromptStarts(world)).filter(start => start.engine === engine).length - recordedCount;
}
