/** Plan, progress and result of one attempt of a stream. */
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import type { PromptPlacement } from "../../placement/model/promptPlacement.js";
import type { PrefillShard } from "../../ports/endpointProtocol.js";
import type { PermittedEndpoints } from "../../warmup/queries/isPermitCurrent.js";
import type { StreamOutput } from "./streamOutput.js";

/** What the caller has received so far, over all attempts. */
export interface StreamProgress {
    readonly output: StreamOutput;
    lastEventId: number | undefined;
    /** Whether a response has begun, which a further attempt continues. */
    hasSentHeaders: boolean;
    /** Content type of that response without its parameters. A response that continues the stream has the same. */
    mediaType?: string;
    /** Number of events forwarded. */
    events: number;
}

/**
 * Result of an attempt. `passed_on`: an error response of the endpoint was forwarded; `stopped`: the host stops;
 * `too_large`: the host cannot hold the response.
 */
export type StreamAttemptResult =
    | { readonly kind: "complete" | "passed_on" | "caller_gone" | "out_of_time" | "stopped" | "too_large"; }
    /** `not_run`: the endpoint has not run the request. `broken`: it may have run, partly or completely. */
    | {
        readonly kind: "not_run" | "broken";
        readonly wasSent: boolean;
        /** Whether the endpoint closed the connection before the end of its answer, and may have crashed. */
        readonly mayBeCrash?: boolean;
    }
    /** The endpoint is silent. The attempt goes on beside the next one until either of them has an event. */
    | { readonly kind: "silent"; readonly wasSent: true; readonly attempt: SilentAttempt; }
    /** The request or a part of it was isolated while the endpoint had not written an answer. */
    | { readonly kind: "isolated"; };

/** An attempt whose endpoint is silent. */
export interface SilentAttempt {
    /** Resolves with the result once the attempt has ended. */
    readonly ended: Promise<StreamAttemptResult>;
    /** Makes it the only attempt: it reacts to the caller and to a stop of the host. */
    readonly resumeAlone: () => void;
    readonly abort: () => void;
}

/** Endpoints of an attempt and the estimate of the placement that chose them. */
export interface StreamAttemptPlan {
    readonly endpoint: Endpoint;
    /** See `AttemptPlan`. */
    readonly permitted: PermittedEndpoints;
    /** No other endpoint may be tried, so the attempt continues until the deadline, without stall checks. */
    readonly isFinalAttempt: boolean;
    readonly placement: PromptPlacement;
    /** Endpoints that prefill further shards of the prompt. */
    readonly shardTargets: readonly PrefillShard[];
    readonly onFirstEvent: () => void;
    /** Whether the attempt may go on while its endpoint is silent and another attempt is made. */
    readonly mayGoOnSilent: () => boolean;
    /** Called when a silent endpoint goes on. */
    readonly onGoesOn: () => void;
    /** Whether an attempt at a silent endpoint may still serve the stream if this one does not. */
    readonly hasSilentAttempt: () => boolean;
    /** Receives the function that ends this attempt in favour of the one at the silent endpoint. */
    readonly onStarted: (abort: () => void) => void;
}
