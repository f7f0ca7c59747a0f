/** Cucumber world: the state that the steps of one scenario share, and the hooks that run after it. */
import { After, AfterAll, setDefaultTimeout, setWorldConstructor, Status, World } from "@cucumber/cucumber";
import { getUrl, type HostExit, type PromptResult, type RunningSystem, type TicketResponse } from "@currantrill/demo";
import type { JsonResponse } from "@currantrill/http";
import assert from "node:assert/strict";
import type { PromptStart } from "./engineLedgers.js";
import { endSharedSystem, resetSystem } from "./sharedSystem.js";

const STEP_TIMEOUT_MS = 60_000;
const POLL_MS = 50;

/** Result of a run of `currantrill`. */
export interface CommandResult {
    readonly exitCode: number | null;
    readonly output: string;
}

/** State of one scenario. */
export class SystemWorld extends World {
    system: RunningSystem | undefined;
    /** Prompts in flight, by the name that the scenario gives them. */
    readonly prompts = new Map<string, Promise<PromptResult>>();
    /** Service calls in flight, by name. */
    readonly calls = new Map<string, Promise<JsonResponse>>();
    /** Responses to the tickets that the scenario sent. */
    tickets: TicketResponse[] = [];
    /** Exit code and output of the last command of an operator. */
    command: CommandResult | undefined;
    /** Exits of the hosts that the scenario stopped gracefully. */
    exits: HostExit[] = [];
    /** Starts of prompts at the time that the scenario recorded them. */
    recordedStarts: PromptStart[] = [];
    /** Whether the next scenario can use the same system. False after a ticket, a local stop or a graceful stop of a host. */
    canReuseSystem = true;

    getSystem(): RunningSystem {
        assert.ok(this.system, "the scenario has not started a system");
        return this.system;
    }

    addPrompt(name: string, prompt: Promise<PromptResult>): void {
        // Avoids an unhandled rejection: a scenario may expect the connection to break, and a later step checks the result.
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
    if (result?.status !== Status.PASSED || !this.canReuseSystem) {
        await endSharedSystem();
    }
    else if (this.system !== undefined) {
        await resetSystem(this.system);
    }
});

AfterAll(endSharedSystem);

/** Repeats a check until it passes. Shortly before the time limit of the step, rejects with the last failure. */
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
