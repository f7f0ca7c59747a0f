import { getPrefixTokens } from "@currantrill/protocol";
import { createHash } from "node:crypto";

/** Estimate, since the host has no tokenizer. */
const BYTES_PER_TOKEN = 4;
/** Length of a hash: 64 bits in hexadecimal. */
const HASH_CHARACTERS = 16;

/**
 * Hashes the prefixes of a prompt with the lengths `getPrefixTokens(0)`, `getPrefixTokens(1)` and so on, shortest
 * first. Prompts with the same prefix and model have the same hash. Each byte is hashed only once.
 */
export function computePrefixHashes(model: string, prompt: string): string[] {
    const bytes = Buffer.from(prompt);
    if (bytes.length < getPrefixTokens(0) * BYTES_PER_TOKEN) {
        return [];
    }
    const hash = createHash("sha256").update(model).update("\0");
    const result: string[] = [];
    let hashedBytes = 0;
    for (let index = 0; getPrefixTokens(index) * BYTES_PER_TOKEN <= bytes.length; index += 1) {
        const end = getPrefixTokens(index) * BYTES_PER_TOKEN;
        hash.update(bytes.subarray(hashedBytes, end));
        hashedBytes = end;
        result.push(hash.copy().digest("hex").slice(0, HASH_CHARACTERS));
    }
    return result;
}
