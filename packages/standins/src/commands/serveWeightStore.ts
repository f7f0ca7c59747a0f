/** Simulates the weight store, from which engines fetch model weights, with a limited number of fetches per second. */
import { sendJson } from "@currantrill/http";
import { createLedgerState, recordEntry } from "../model/ledgerState.js";
import { createTokenBucket, takeToken } from "../model/tokenBucket.js";
import { type RunningStandin, serveStandin } from "./serveStandin.js";

export interface WeightStoreOptions {
    readonly host?: string;
    /** Port to listen on; 0 takes a free one. */
    readonly port?: number;
    /** Fetches above this rate get status 429. */
    readonly fetchesPerSecond?: number;
    /** Duration of one fetch, in milliseconds. */
    readonly fetchMs?: number;
}

const defaultOptions = { host: "127.0.0.1", port: 0, fetchesPerSecond: 4, fetchMs: 200 } satisfies WeightStoreOptions;
/** Reported size of each model; no weights are transferred. */
const MODEL_BYTES = 16_000_000_000;

/** Starts the weight store stand-in. The ledger lists each fetch as `served` or `throttled`. */
export async function serveWeightStore(options: WeightStoreOptions = {}): Promise<RunningStandin> {
    const settings = { ...defaultOptions, ...options };
    const ledger = createLedgerState();
    const bucket = createTokenBucket(settings.fetchesPerSecond);
    return serveStandin({
        host: settings.host,
        port: settings.port,
        readLedger: () => ledger,
        routes: [{
            method: "GET",
            path: "/v1/weights/:model/:version",
            handle: (request, response) => {
                const { model = "", version = "" } = request.params;
                const served = takeToken(bucket);
                recordEntry(ledger, {
                    requestId: "",
                    attemptId: "",
                    action: `fetch ${model}@${version}`,
                    outcome: served ? "served" : "throttled",
                });
                if (!served) {
                    sendJson(response, 429, { error: "rate limit" }, { "retry-after": "1" });
                    return;
                }
                setTimeout(() => sendJson(response, 200, { model, version, bytes: MODEL_BYTES }), settings.fetchMs);
            },
        }],
    });
}
