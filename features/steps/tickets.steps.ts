/** Steps of operators: tickets, local stops and configuration revisions. */
import { Given, Then, When } from "@cucumber/cucumber";
import {
    applyTicket,
    buildEndpointTicket,
    listRevisions,
    sendStop,
    sendTicket,
    waitForRevision,
} from "@currantrill/demo";
import assert from "node:assert/strict";
import { findRunningEngine } from "./engineLedgers.js";
import { type SystemWorld, waitFor } from "./systemWorld.js";

Given("a ticket sets the silence limit of {word} to {int} s", async function(
    this: SystemWorld,
    endpoint: string,
    seconds: number,
) {
    const system = this.getSystem();
    const ticket = await buildEndpointTicket(system, endpoint, { max_silence_ms: seconds * 1_000 });
    await waitForRevision(system, await applyTicket(system, ticket));
    this.canReuseSystem = false;
});

When("a ticket reclaims {word}", async function(this: SystemWorld, endpoint: string) {
    const system = this.getSystem();
    await applyTicket(system, await buildEndpointTicket(system, endpoint, { lending: "reclaimed" }));
    this.canReuseSystem = false;
});

When("a ticket reclaims the engine that runs the prompt", async function(this: SystemWorld) {
    const system = this.getSystem();
    const engine = await findRunningEngine(this);
    assert.ok(engine, "no engine is running a prompt");
    await applyTicket(system, await buildEndpointTicket(system, engine, { lending: "reclaimed" }));
    this.canReuseSystem = false;
});

When("an operator stops {word} on {word}", async function(this: SystemWorld, endpoint: string, host: string) {
    const answer = await sendStop(this.getSystem(), host, endpoint);
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    this.canReuseSystem = false;
});

When("tickets that change {word} are sent to {word} and {word} at the same time", async function(
    this: SystemWorld,
    endpoint: string,
    host: string,
    other: string,
) {
    const system = this.getSystem();
    const first = await buildEndpointTicket(system, endpoint, { grace_ms: 1_000 });
    const second = { ...await buildEndpointTicket(system, endpoint, { grace_ms: 2_000 }), ticket: 3 };
    this.tickets = await Promise.all([sendTicket(system, host, first), sendTicket(system, other, second)]);
    this.canReuseSystem = false;
});

When("a ticket that changes {word} is sent to {word}", async function(
    this: SystemWorld,
    endpoint: string,
    host: string,
) {
    const system = this.getSystem();
    const ticket = await buildEndpointTicket(system, endpoint, { grace_ms: 1_000 });
    this.tickets.push(await sendTicket(system, host, ticket));
    this.canReuseSystem = false;
});

When("the same ticket that changes {word} is sent to {word} and {word}", async function(
    this: SystemWorld,
    endpoint: string,
    host: string,
    other: string,
) {
    const system = this.getSystem();
    const ticket = await buildEndpointTicket(system, endpoint, { grace_ms: 1_000 });
    this.tickets = await Promise.all([sendTicket(system, host, ticket), sendTicket(system, other, ticket)]);
    this.canReuseSystem = false;
});

Then("one ticket is applied and the other is refused with a conflict that names both", function(this: SystemWorld) {
    const [winner, loser] = this.tickets.toSorted((left, right) => left.status - right.status);
    assert.equal(winner?.status, 200, JSON.stringify(winner?.body));
    assert.equal(loser?.status, 409, JSON.stringify(loser?.body));
    const text = JSON.stringify(loser.body);
    assert.match(text, /ticket 2/);
    assert.match(text, /ticket 3/);
});

Then("the ticket(s) is/are applied", function(this: SystemWorld) {
    assert.deepEqual(this.tickets.filter(answer => answer.status !== 200), []);
    assert.ok(this.tickets.length > 0, "the scenario has sent no ticket");
});

Then("the ticket is refused", function(this: SystemWorld) {
    assert.ok(this.tickets.every(answer => answer.status >= 400), JSON.stringify(this.tickets));
    assert.ok(this.tickets.length > 0, "the scenario has sent no ticket");
});

Then("revision {int} is in force on every host", async function(this: SystemWorld, revision: number) {
    await waitFor(async () => {
        const revisions = [...await listRevisions(this.getSystem())];
        assert.deepEqual(revisions.filter(([, value]) => value !== revision), []);
    });
});

Then("revision {int} is in force on {word}", async function(this: SystemWorld, revision: number, host: string) {
    assert.equal((await listRevisions(this.getSystem())).get(host), revision);
});
