import { createHash } from "node:crypto";
import type { ServiceCall } from "../model/serviceCall.js";

/** SHA-256 over method, path with query, content type and body. Two calls with one key have to agree in it. */
export function computeFingerprint(call: ServiceCall): string {
    const hash = createHash("sha256");
    for (const part of [call.method, call.target, String(call.headers["content-type"] ?? "")]) {
        hash.update(`${Buffer.byteLength(part)}:${part}`);
    }
    return hash.update(call.body).digest("hex");
}
