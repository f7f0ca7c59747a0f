/** Steps that check which engines start new prompts. */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readPromptStarts } from "./engineLedgers.js";
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

/** Counts the prompts that an engine has started since the starts were recorded. */
async function countNewStarts(world: SystemWorld, engine: string): Promise<number> {
    const recordedCount = world.recordedStarts.filter(start => start.engine === engine).length;
    return (await readPromptStarts(world)).filter(start => start.engine === engine).length - recordedCount;
}
