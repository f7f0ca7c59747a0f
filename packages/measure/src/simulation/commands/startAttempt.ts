/** Runs one attempt of a request on one engine over the simulated network. */
import { addRetryTokens, markSuspect, recordEnd, recordFirstToken, recordPrefix, recordSend } from "@currantrill/core";
import { type EndpointId, toAttemptId } from "@currantrill/protocol";
import type { RequestRecord } from "../model/arrival.js";
import { type HostState, updateView } from "../model/hostState.js";
import { CLIENT_DELAY_MS } from "../model/network.js";

/** Time until a connection to an unreachable endpoint is given up. */
const CONNECT_TIMEOUT_MS = 200;
const SUSPECT_MS = 5_000;

export interface AttemptOptions {
    readonly record: RequestRecord;
    readonly endpoint: EndpointId;
    readonly priority: number;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly outputTokens: number;
    readonly memoryTokens: number;
    /** Whether the memory is held by an allocation of a gang. */
    readonly isAllocated: boolean;
    /** Called once with the result, unless the attempt was cancelled. */
    readonly onFirstToken: () => void;
    readonly onEnd: () => void;
    /** `reached` tells whether the engine had received the attempt. */
    readonly onFail: (reached: boolean) => void;
}

/** Sends the attempt. Returns its id, for `cancelAttempt`. */
export function startAttempt(host: HostState, options: AttemptOptions): string {
    const { events, network, engines } = host.fleet;
    const { record: { arrival }, endpoint } = options;
    const engine = engines.get(endpoint);
    const id = `${host.id}/${host.attempts++}`;
    const attempt = toAttemptId(id);
    if (engine === undefined) {
        throw new Error(`no engine ${endpoint}`);
    }
    const delayMs = network.getDelayMs(host.failureDomain, engine.failureDomain);
    const deliver = (run: () => void): void =>
        events.schedule(delayMs, () => {
            if (host.running.has(id)) {
                run();
            }
        });
    const fail = (reached: boolean): void => {
        host.running.delete(id);
        engine.cancel(id);
        updateView(host, endpoint, view => markSuspect(recordEnd(view, attempt), events.now + SUSPECT_MS));
        options.onFail(reached);
    };
    host.running.set(id, { endpoint, record: options.record, fail: () => fail(true) });
    updateView(host, endpoint, view =>
        recordSend(view, {
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
    deliver(() =>
        engine.accept({
            id,
            priority: options.priority,
            memoryTokens: options.isAllocated ? 0 : options.memoryTokens,
            outputTokens: options.outputTokens,
            prefixHash: arrival.prefixHash,
            prefixTokens: options.isAllocated ? 0 : arrival.prefixTokens,
            prefillTokens: options.promptTokens,
            onFirstToken: () =>
                deliver(() => {
                    updateView(host, endpoint, view => recordFirstToken(view, attempt));
                    if (!options.isAllocated && arrival.prefixTokens > 0) {
                        const entry = { endpoint, tokens: arrival.prefixTokens, seenAtMs: events.now };
                        host.prefixes = recordPrefix(host.prefixes, arrival.prefixHash, entry);
                    }
                    options.onFirstToken();
                }),
            onEnd: () =>
                deliver(() => {
                    host.running.delete(id);
                    updateView(host, endpoint, view => recordEnd(view, attempt));
                    options.onEnd();
                }),
            onFail: () => deliver(() => fail(true)),
        })
    );
    return id;
}

/** Cancels an attempt without a result. */
export function cancelAttempt(host: HostState, id: string): void {
    const attempt = host.running.get(id);
    if (attempt === undefined) {
        return;
    }
    host.running.delete(id);
    host.fleet.engines.get(attempt.endpoint)?.cancel(id);
    updateView(host, attempt.endpoint, view => recordEnd(view, toAttemptId(id)));
}

/** Records the first token at the caller. */
export function recordFirstTokenAtCaller(host: HostState, record: RequestRecord): void {
    record.firstTokenAtMs ??= host.fleet.events.now + CLIENT_DELAY_MS;
}

/** Records the complete answer. */
export function recordAnswer(host: HostState, record: RequestRecord): void {
    if (record.outcome === "pending") {
        record.outcome = "answered";
        host.retries = addRetryTokens(host.retries);
    }
}
