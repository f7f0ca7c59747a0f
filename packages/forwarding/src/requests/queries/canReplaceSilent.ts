/** What becomes of an attempt of a stream whose endpoint is silent. */
import type { ForwardingContext } from "../../model/forwardingContext.js";
import { ANSWER_EVENTS } from "../commands/checkCrash.js";
import type { StreamRun } from "../commands/runStreamAttempt.js";
import type { Exchange } from "../model/exchange.js";
import { canContinueElsewhere } from "./canContinueElsewhere.js";

/**
 * Silence of an endpoint, from its first failed probe, after which a stream without a response is given up although no other
 * endpoint can take it. A sound endpoint may be silent for 2 s.
 */
const MAX_SOUND_SILENCE_MS = 2_000;

/** Returns whether the prompt may be sent to another endpoint, as far as the quarantine is concerned. */
function canBeSentAgain({ quarantine }: ForwardingContext, { attempts, tracked }: Exchange): boolean {
    const hasAnswer = attempts.some(({ events = 0 }) => events >= ANSWER_EVENTS);
    return !(hasAnswer ? quarantine.isIsolated(tracked) : quarantine.isSuspect(tracked));
}

/** Returns whether another attempt can take the place of one whose endpoint is silent. Until then that one may still go on. */
export const canReplace = (
    { context, exchange, plan, progress, startedAtMs, lastEventAtMs = startedAtMs }: StreamRun,
): boolean =>
    context.retryBudget.canSpend(exchange.service.name, performance.now())
    && canBeSentAgain(context, exchange)
    && canContinueElsewhere(context, exchange, {
        hasSentHeaders: progress.hasSentHeaders,
        lastProgressAtMs: lastEventAtMs,
        firstEventMs: plan.placement.firstEventMs,
    });

/** Returns whether an endpoint without a response has not responded to anything for longer than a sound one may be silent. */
export const isGone = ({ progress, plan, probeFailedAtMs = Infinity }: StreamRun): boolean =>
    !progress.hasSentHeaders && plan.endpoint.health.lastResponseAtMs < probeFailedAtMs
    && performance.now() - probeFailedAtMs >= MAX_SOUND_SILENCE_MS;
