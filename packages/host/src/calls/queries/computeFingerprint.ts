import { createHash } from "node:crypto";
import type { ServiceCall } from "../model/serviceCall.js";

/**
 * Computes a SHA-256 over method, path with query, content type and body. Calls with the same idempotency key must have
 * the same fingerprint. Each field is prefixed with its length, so that different fields never give the same input.
 */
export function computeFingerprint(call: ServiceCall): string {
    const hash = createHash("sha256");
    for (const fieldValue of [call.method, call.target, String(call.headers["content-type"] ?? "")]) {
        hash.update(`${Buffer.byteLength(fieldValue)}:${fieldValue}`);
    }
    return hash.update(call.body).digest("hex");
}
