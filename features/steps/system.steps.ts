/** Steps that run against real processes on loopback. */
import { After, Given, setDefaultTimeout, setWorldConstructor, Then, When, World } from "@cucumber/cucumber";
import { DEMO_MODEL, type RunningSystem, startSystem } from "@currantrill/demo";
import { type JsonResponse, requestJson } from "@currantrill/http";
import assert from "node:assert/strict";

setDefaultTimeout(60_000);

class SystemWorld extends World {
    system: RunningSystem | undefined;
    response: JsonResponse | undefined;

    getSystem(): RunningSystem {
        assert.ok(this.system, "the scenario has not started a system");
        return this.system;
    }
}

setWorldConstructor(SystemWorld);

After(async function(this: SystemWorld) {
    await this.system?.stop();
});

Given("a running system", async function(this: SystemWorld) {
    this.system = await startSystem();
});

When("a caller sends a prompt of {int} tokens", async function(this: SystemWorld, tokens: number) {
    const { processes, workspaces } = this.getSystem().topology;
    const host = processes.find(entry => entry.role === "host");
    this.response = await requestJson(`http://${host?.address ?? ""}/v1/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${workspaces[0]?.key ?? ""}` },
        body: { model: DEMO_MODEL, prompt: "", prompt_tokens: tokens, max_tokens: 8 },
        timeoutMs: 30_000,
    });
});

Then("the caller receives the whole answer", function(this: SystemWorld) {
    assert.equal(this.response?.status, 200);
    assert.equal((this.response.body as { usage: { completion_tokens: number; }; }).usage.completion_tokens, 8);
});

When("the system stops gracefully", async function(this: SystemWorld) {
    await this.getSystem().stop();
});

Then("every host exits with code 0", function(this: SystemWorld) {
    const { topology, children } = this.getSystem();
    const hosts = topology.processes.filter(entry => entry.role === "host");
    assert.deepEqual(hosts.map(host => children.get(host.name)?.exitCode), hosts.map(() => 0));
});
