import { type HttpConnectionPool, requestJson } from "@currantrill/http";
import type { AttemptId } from "@currantrill/protocol";

const CANCEL_TIMEOUT_MS = 1_000;
const MAX_CANCEL_ATTEMPTS = 2;

/**
 * Cancels an attempt on its engine. Resolves with whether the engine answered. If the cancellation is lost, the engine
 * only does unneeded work.
 */
export async function cancelAttempt(connections: HttpConnectionPool, attemptId: AttemptId): Promise<boolean> {
    for (let attempt = 1; attempt <= MAX_CANCEL_ATTEMPTS; attempt += 1) {
        try {
            await requestJson(`${connections.origin}/v1/cancel`, {
                method: "POST",
                body: { attempt_id: attemptId },
                timeoutMs: CANCEL_TIMEOUT_MS,
                dispatcher: connections.getDispatcher(),
            });
            return true;
        }
        catch {
            connections.renew();
        }
    }
    return false;
}
