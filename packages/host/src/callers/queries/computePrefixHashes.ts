import { getPrefixTokens } from "@currantrill/protocol";
import { createHash } from "node:crypto";

const BYTES_PER_TOKEN = 4;
const HASH_CHARACTERS = 16;

/** Hashes the prefixes of a prompt whose lengths are `getPrefixTokens(0)`, `getPrefixTokens(1)` and so on. */
export function computePrefixHashes(model: string, prompt: string): string[] {
    const bytes = Buffer.from(prompt);
    if (bytes.length < getPrefixTokens(0) * BYTES_PER_TOKEN) {
        return [];
    }
    const hash = createHash("sha256").update(model).update("\0");
    const result: string[] = [];
    let hashed = 0;
    for (let index = 0; getPrefixTokens(index) * BYTES_PER_TOKEN <= bytes.length; index += 1) {
        const end = getPrefixTokens(index) * BYTES_PER_TOKEN;
        hash.update(bytes.subarray(hashed, end));
        hashed = end;
        result.push(hash.copy().digest("hex").slice(0, HASH_CHARACTERS));
    }
    return result;
}
