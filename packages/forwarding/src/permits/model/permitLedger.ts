/** Permits that this host grants for the endpoints of its failure domain. */
import type { PermitAnswer, PermitNeed } from "../queries/permitCodec.js";
import { createTokenBucket, type TokenBucket } from "./tokenBucket.js";

export interface PermitLedger {
    /** Grants all permits or none. */
    readonly grant: (needs: readonly PermitNeed[], nowMs: number) => PermitAnswer;
    /** Returns the number of permits that are available, which can be a fraction. */
    readonly getLevel: (need: PermitNeed, nowMs: number) => number;
}

/** Buckets that have not been used for this time are dropped; they are full again by then at all but tiny rates. */
const FORGET_MS = 60_000;

/** Most endpoints whose levels an answer carries, so that it fits into one datagram. */
const MAX_LEVELS = 32;

interface LedgerEntry {
    readonly bucket: TokenBucket;
    requestsPerSecond: number;
    usedAtMs: number;
}

export interface PermitLedgerOptions {
    /** Permits of an endpoint that are available at once. */
    readonly initialPermits?: number;
}

/** Creates a ledger. */
export function createPermitLedger({ initialPermits = 1 }: PermitLedgerOptions = {}): PermitLedger {
    const entries = new Map<string, LedgerEntry>();
    let sweptAtMs = -Infinity;
    const sweep = (nowMs: number): void => {
        if (nowMs - sweptAtMs < FORGET_MS) {
            return;
        }
        sweptAtMs = nowMs;
        for (const [id, { usedAtMs }] of entries) {
            if (nowMs - usedAtMs > FORGET_MS) {
                entries.delete(id);
            }
        }
    };
    const getEntry = ({ endpointId, requestsPerSecond }: PermitNeed, nowMs: number): LedgerEntry => {
        sweep(nowMs);
        const entry = entries.get(endpointId)
            ?? { bucket: createTokenBucket(nowMs, initialPermits), requestsPerSecond, usedAtMs: nowMs };
        entry.requestsPerSecond = requestsPerSecond;
        entry.usedAtMs = nowMs;
        entries.set(endpointId, entry);
        return entry;
    };
    const getLevel = (need: PermitNeed, nowMs: number): number =>
        getEntry(need, nowMs).bucket.getLevel(need.requestsPerSecond, nowMs);
    return {
        getLevel,
        grant: (needs, nowMs) => {
            const isGranted = needs.every(need => getLevel(need, nowMs) >= 1 + need.permitsLeft);
            if (isGranted) {
                needs.forEach(need => getEntry(need, nowMs).bucket.take(need.requestsPerSecond, nowMs));
            }
            const latest = [...entries].sort(([, a], [, b]) => b.usedAtMs - a.usedAtMs).slice(0, MAX_LEVELS);
            return {
                isGranted,
                levels: latest.map(([id, { bucket, requestsPerSecond }]) => [
                    id,
                    bucket.getLevel(requestsPerSecond, nowMs),
                ]),
            };
        },
    };
}
