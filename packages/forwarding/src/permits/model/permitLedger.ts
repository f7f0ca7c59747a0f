/** Permits that this host grants for the endpoints of its failure domain. */
import type { PermitAnswer, PermitNeed } from "../queries/permitCodec.js";
import { createTokenBucket, type TokenBucket } from "./tokenBucket.js";

/** A permit that is needed, and the bucket that it is taken from. */
export interface LedgerNeed extends Omit<PermitNeed, "isCold"> {
    /** Permits that are available at once; see `TokenBucket`. */
    readonly capacity?: number;
}

export interface PermitLedger {
    /** Grants all permits or none. */
    readonly grant: (needs: readonly LedgerNeed[], nowMs: number) => PermitAnswer;
    /** Returns the number of permits that are available, which can be a fraction. */
    readonly getLevel: (need: LedgerNeed, nowMs: number) => number;
}

/** Buckets that have not been used for this time are dropped; they are full again by then at all but tiny rates. */
const FORGET_MS = 60_000;

/** Most endpoints whose levels an answer carries, so that it fits into one datagram. */
const MAX_LEVELS = 32;

interface LedgerEntry {
    readonly bucket: TokenBucket;
    requestsPerSecond: number;
    capacity: number | undefined;
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
    const getEntry = ({ endpointId, requestsPerSecond, capacity }: LedgerNeed, nowMs: number): LedgerEntry => {
        sweep(nowMs);
        const entry = entries.get(endpointId)
            ?? { bucket: createTokenBucket(nowMs, initialPermits), requestsPerSecond, capacity, usedAtMs: nowMs };
        entry.requestsPerSecond = requestsPerSecond;
        entry.capacity = capacity;
        entry.usedAtMs = nowMs;
        entries.set(endpointId, entry);
        return entry;
    };
    const getLevel = (need: LedgerNeed, nowMs: number): number =>
        getEntry(need, nowMs).bucket.getLevel(need.requestsPerSecond, nowMs, need.capacity);
    return {
        getLevel,
        grant: (needs, nowMs) => {
            const isGranted = needs.every(need => getLevel(need, nowMs) >= 1 + need.permitsLeft);
            if (isGranted) {
                needs.forEach(need => getEntry(need, nowMs).bucket.take(need.requestsPerSecond, nowMs, need.capacity));
            }
            const latest = [...entries].sort(([, a], [, b]) => b.usedAtMs - a.usedAtMs).slice(0, MAX_LEVELS);
            return {
                isGranted,
                levels: latest.map(([id, { bucket, requestsPerSecond, capacity }]) => [
                    id,
                    bucket.getLevel(requestsPerSecond, nowMs, capacity),
                ]),
            };
        },
    };
}
