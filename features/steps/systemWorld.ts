/** What the steps of one scenario share. */
import { After, AfterAll, setDefaultTimeout, setWorldConstructor, Status, World } from "@cucumber/cucumber";
import { getUrl, type HostExit, type PromptResult, type RunningSystem, type TicketAnswer } from "@currantrill/demo";
import type { JsonResponse } from "@currantrill/http";
import assert from "node:assert/strict";
import type { PromptStart } from "./engineLedgers.js";
import { endSharedSystem, resetSystem } from "./sharedSystem.js";

const STEP_TIMEOUT_MS = 60_000;
const POLL_MS = 50;

export class SystemWorld extends World {
    system: RunningSystem | undefined;
    /** Prompts in flight, by the name that the scenario gives them. */
    readonly prompts = new Map<string, Promise<PromptResult>>();
    /** Service calls in flight, by name. */
    readonly calls = new Map<string, Promise<JsonResponse>>();
    tickets: TicketAnswer[] = [];
    exits: HostExit[] = [];
    /** Starts of prompts up to a moment that the scenario chose. */
    notedStarts: PromptStart[] = [];
    /** Whether the next scenario can use the system; not after a change of its configuration or the end of a host. */
    keepsSystem = true;

    getSystem(): RunningSystem {
        assert.ok(this.system, "the scenario has not started a system");
        return this.system;
    }

    addPrompt(name: string, prompt: Promise<PromptResult>): void {
        // A scenario may expect the connection to break; the step that reads the result sees the rejection.
        prompt.catch(() => undefined);
        this.prompts.set(name, prompt);
    }

    addCall(name: string, call: Promise<JsonResponse>): void {
        call.catch(() => undefined);
        this.calls.set(name, call);
    }

    getHostUrl(host: string): string {
        return getUrl(this.getSystem(), host);
    }
}

setDefaultTimeout(STEP_TIMEOUT_MS);
setWorldConstructor(SystemWorld);

After(async function(this: SystemWorld, { result }) {
    await Promise.allSettled([...this.prompts.values(), ...this.calls.values()]);
    if (result?.status !== Status.PASSED || !this.keepsSystem) {
        await endSharedSystem();
    }
    else if (this.system !== undefined) {
        await resetSystem(this.system);
    }
});

AfterAll(endSharedSystem);

/** Waits until a check passes. The step's time limit ends the wait; the last failure is then reported. */
export async function waitFor(check: () => Promise<void>): Promise<void> {
    const deadlineMs = performance.now() + STEP_TIMEOUT_MS - 5_000;
    for (;;) {
        try {
            await check();
            return;
        }
        catch (error) {
            if (performance.now() > deadlineMs) {
                throw error;
            }
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
