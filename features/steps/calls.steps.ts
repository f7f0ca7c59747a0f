/** Steps that send non-idempotent service calls and check their outcomes. */
import { Then, When } from "@cucumber/cucumber";
import { DEMO_WORKSPACES, readLedger, sendDispatch } from "@currantrill/demo";
import { callerHeaders } from "@currantrill/protocol";
import assert from "node:assert/strict";
import { type SystemWorld, waitFor } from "./systemWorld.js";

const SERVICE = "orders-1";
const workspaceKey = DEMO_WORKSPACES[0].key;
const DEFAULT_TIMEOUT_S = 10;

/** Outcome header and JSON body of a response. */
interface CallResult {
    readonly outcome: string;
    readonly body: string;
}

/** Waits for the result of a call. The outcome is `broken` if the connection ended without a response. */
async function getCall(world: SystemWorld, name: string): Promise<CallResult> {
    const call = world.calls.get(name);
    assert.ok(call, `the scenario has sent no call ${name}`);
    const response = await call.catch(() => undefined);
    const outcome = response === undefined ? "broken" : String(response.headers[callerHeaders.outcome]);
    return { outcome, body: JSON.stringify(response?.body) };
}

/** Counts the executions of an idempotency key in the service's ledger. */
async function countExecutions(world: SystemWorld, key: string): Promise<number> {
    const { entries } = await readLedger(world.getSystem(), SERVICE);
    return entries.filter(entry => entry.idempotencyKey === key).length;
}

function sendCall(world: SystemWorld, name: string, key: string, host: string, seconds: number): void {
    const timeoutMs = seconds * 1_000;
    world.addCall(name, sendDispatch({ url: world.getHostUrl(host), workspaceKey, idempotencyKey: key, timeoutMs }));
}

When("a caller sends dispatch {word} with key {word} to {word}", function(
    this: SystemWorld,
    name: string,
    key: string,
    host: string,
) {
    sendCall(this, name, key, host, DEFAULT_TIMEOUT_S);
});

When("a caller sends dispatch {word} with key {word} to {word} with a timeout of {int} s", function(
    this: SystemWorld,
    name: string,
    key: string,
    host: string,
    seconds: number,
) {
    sendCall(this, name, key, host, seconds);
});

When("dispatch {word} has ended", async function(this: SystemWorld, name: string) {
    await getCall(this, name);
});

When("the service has executed key {word}", async function(this: SystemWorld, key: string) {
    await waitFor(async () => assert.ok(await countExecutions(this, key) > 0));
});

Then("dispatch {word} is answered", async function(this: SystemWorld, name: string) {
    const { outcome, body } = await getCall(this, name);
    assert.equal(outcome, "answered", body);
});

Then("dispatch {word} is refused as not run", async function(this: SystemWorld, name: string) {
    const { outcome, body } = await getCall(this, name);
    assert.equal(outcome, "not_run", body);
});

Then("dispatch {word} has an unknown outcome", async function(this: SystemWorld, name: string) {
    const { outcome, body } = await getCall(this, name);
    assert.equal(outcome, "outcome_unknown", body);
});

Then("dispatches {word} and {word} have the same answer", async function(
    this: SystemWorld,
    name: string,
    other: string,
) {
    assert.deepEqual(await getCall(this, name), await getCall(this, other));
});

Then("the service executed key {word} {int} time(s)", async function(this: SystemWorld, key: string, count: number) {
    await Promise.allSettled(this.calls.values());
    assert.equal(await countExecutions(this, key), count);
});

Then("the outcomes of {word} agree with its executions", async function(this: SystemWorld, key: string) {
    const names = [...this.calls.keys()];
    const outcomes = await Promise.all(names.map(async name => (await getCall(this, name)).outcome));
    const executions = await countExecutions(this, key);
    assert.ok(executions <= 1, `the service executed the key ${executions} times`);
    if (outcomes.includes("answered")) {
        assert.equal(executions, 1, "a call was answered, but the service did not execute it");
    }
    if (outcomes.every(outcome => outcome === "not_run")) {
        assert.equal(executions, 0, "every call was refused as not run, but the service executed one");
    }
});
