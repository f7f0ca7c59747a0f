/** Steps that run the command `currantrill` as a process. */
import { Then, When } from "@cucumber/cucumber";
import { getOperatorUrl, getProcess, OPERATOR_KEY } from "@currantrill/demo";
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { join } from "node:path";
import { findRunningEngine } from "./engineLedgers.js";
import type { CommandResult, SystemWorld } from "./systemWorld.js";

const PROGRAM = join(import.meta.dirname, "..", "..", "packages", "cli", "dist", "main.js");

/** Exit codes with which a command reports an outcome. */
const exitCodes: Readonly<Record<string, readonly number[]>> = { accepted: [0], refused: [1, 2, 3], unknown: [4] };

When("an operator runs {string} on {word}", async function(this: SystemWorld, text: string, host: string) {
    await runCommand(this, text, host);
});

When("an operator evacuates the failure domain of the engine that runs the prompt", async function(this: SystemWorld) {
    const engine = await findRunningEngine(this);
    assert.ok(engine, "no engine is running a prompt");
    const { failureDomain } = getProcess(this.getSystem(), engine).plan;
    await runCommand(this, `domain evacuate ${failureDomain}`, "host-b-1");
});

Then("the command reports {word}", function(this: SystemWorld, outcome: string) {
    const { exitCode, output } = this.command ?? { exitCode: null, output: "the scenario has run no command" };
    assert.equal((JSON.parse(output) as { outcome?: string; }).outcome, outcome, output);
    assert.ok(exitCodes[outcome]?.includes(exitCode ?? -1), `exit code ${String(exitCode)}: ${output}`);
});

async function runCommand(world: SystemWorld, text: string, host: string): Promise<void> {
    const address = new URL(getOperatorUrl(world.getSystem(), host)).host;
    const args = [PROGRAM, ...text.split(" "), "--host", address, "--key", OPERATOR_KEY, "--json"];
    world.canReuseSystem = false;
    world.command = await new Promise<CommandResult>(resolve => {
        const child = execFile(
            process.execPath,
            args,
            (_error, stdout, stderr) => resolve({ exitCode: child.exitCode, output: stdout === "" ? stderr : stdout }),
        );
    });
}
