import { type Connections, requestJson } from "@currantrill/http";
import type { AttemptId } from "@currantrill/protocol";

const CANCEL_TIMEOUT_MS = 1_000;
const CANCEL_TRIES = 2;

/**
 * Tells an engine that the answer to an attempt is no longer wanted, and returns whether the engine answered. A lost
 * cancel costs the engine only its own work.
 */
export async function cancelAttempt(connections: Connections, attemptId: AttemptId): Promise<boolean> {
    for (let attempt = 1; attempt <= CANCEL_TRIES; attempt += 1) {
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
