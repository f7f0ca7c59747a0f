/** Simulates one attempt of a request on one engine, over the simulated network. */
import {
    addRetryTokens,
    markSuspect,
    recordAttemptEnd,
    recordAttemptStart,
    recordFirstToken,
    recordPrefix,
} from "@currantrill/core";
import { type EndpointId, toAttemptId } from "@currantrill/protocol";
import type { RequestRecord } from "../model/arrival.js";
import { type HostState, updateView } from "../model/hostState.js";
import { CLIENT_DELAY_MS } from "../model/simulatedNetwork.js";

/** Time after which a connection attempt to an unreachable endpoint is aborted. */
const CONNECT_TIMEOUT_MS = 200;
/** Time for which an endpoint is suspected after a failed attempt. */
const SUSPICION_MS = 5_000;

export interface AttemptOptions {
    readonly record: RequestRecord;
    readonly endpoint: EndpointId;
    readonly priority: number;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly outputTokens: number;
    readonly memoryTokens: number;
    /** Whether an allocation of a gang already holds the memory. */
    readonly isAllocated: boolean;
    /** Called when the host has received the first token. No callback is called after a cancellation. */
    readonly onFirstToken: () => void;
    /** Called when the host has received the complete answer. */
    readonly onEnd: () => void;
    /** Called when the attempt has failed. `wasReceived` is `false` if it did not reach the engine. */
    readonly onFail: (wasReceived: boolean) => void;
}

/** Starts an attempt. Returns its id, for `cancelAttempt`. */
export function startAttempt(host: HostState, options: AttemptOptions): string {
    const { events, network, engines } = host.fleet;
    const { record: { arrival }, endpoint } = options;
    const engine = engines.get(endpoint);
    const id = `${host.id}/${host.attempts++}`;
    const attempt = toAttemptId(id);
    if (engine === undefined) {
        throw new Error(`simulated fleet has no engine for endpoint ${endpoint}`);
    }
    const delayMs = network.getDelayMs(host.failureDomain, engine.failureDomain);
    const runAfterDelay = (run: () => void): void =>
        events.schedule(delayMs, () => {
            if (host.running.has(id)) {
                run();
            }
        });
    const fail = (wasReceived: boolean): void => {
        host.running.delete(id);
        engine.cancel(id);
        updateView(host, endpoint, view => markSuspect(recordAttemptEnd(view, attempt), events.now + SUSPICION_MS));
        options.onFail(wasReceived);
    };
    host.running.set(id, { endpoint, record: options.record, fail: () => fail(true) });
    updateView(host, endpoint, view =>
        recordAttemptStart(view, {
            attempt,
            sentAtMs: events.now,
            lengthClass: arrival.lengthClass,
            prefillTokens: Math.max(1, options.promptTokens - options.cachedTokens),
            memoryTokens: options.memoryTokens,
        }));
    if (!network.canReach(host.failureDomain, engine.failureDomain)) {
        events.schedule(CONNECT_TIMEOUT_MS, () => host.running.has(id) && fail(false));
        return id;
    }
    runAfterDelay(() =>
        engine.accept({
            id,
            priority: options.priority,
            memoryTokens: options.isAllocated ? 0 : options.memoryTokens,
            outputTokens: options.outputTokens,
            prefixHash: arrival.prefixHash,
            prefixTokens: options.isAllocated ? 0 : arrival.prefixTokens,
            prefillTokens: options.promptTokens,
            onFirstToken: () =>
                runAfterDelay(() => {
                    updateView(host, endpoint, view => recordFirstToken(view, attempt));
                    if (!options.isAllocated && arrival.prefixTokens > 0) {
                        const entry = { endpoint, tokens: arrival.prefixTokens, seenAtMs: events.now };
                        host.prefixes = recordPrefix(host.prefixes, arrival.prefixHash, entry);
                    }
                    options.onFirstToken();
                }),
            onEnd: () =>
                runAfterDelay(() => {
                    host.running.delete(id);
                    updateView(host, endpoint, view => recordAttemptEnd(view, attempt));
                    options.onEnd();
                }),
            onFail: () => runAfterDelay(() => fail(true)),
        })
    );
    return id;
}

/** Cancels an attempt, without a callback. Does nothing if it has ended. */
export function cancelAttempt(host: HostState, id: string): void {
    const attempt = host.running.get(id);
    if (attempt === undefined) {
        return;
    }
    host.running.delete(id);
    host.fleet.engines.get(attempt.endpoint)?.cancel(id);
    updateView(host, attempt.endpoint, view => recordAttemptEnd(view, toAttemptId(id)));
}

/** Records the time at which the caller receives the first token; only the first call has an effect. */
export function recordFirstTokenAtCaller(host: HostState, record: RequestRecord): void {
    record.firstTokenAtMs ??= host.fleet.events.now + CLIENT_DELAY_MS;
}

/** Records that a request was answered completely, which adds to the retry budget. */
export function recordAnswer(host: HostState, record: RequestRecord): void {
    if (record.outcome === "pending") {
        record.outcome = "answered";
        host.retries = addRetryTokens(host.retries);
    }
}
