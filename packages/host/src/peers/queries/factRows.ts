/**
 * Encoding of facts (versioned gossip entries) as rows of values without field names. A load digest takes about 45
 * bytes as a row and about 290 as an object, and digests make up most of the traffic between hosts.
 */
import type {
    DemandFact,
    EndpointDigest,
    Fact,
    HostFact,
    HostId,
    IncarnationId,
    StopFact,
    VersionedFact,
} from "@currantrill/protocol";

import { toFactKey } from "@currantrill/core";

type Row = readonly unknown[];

/** Converts one kind of fact to and from a row. The order of the values and the code are part of the wire format. */
interface RowCodec<F extends Fact> {
    /** Code of the kind in a row. */
    readonly code: number;
    readonly encode: (fact: F) => Row;
    readonly decode: (row: Row) => F;
}

const endpointCodec: RowCodec<EndpointDigest> = {
    code: 0,
    encode: fact => [
        fact.endpoint,
        fact.reportSequence,
        Math.round(fact.queuedPrefillTokens),
        fact.runningRequests,
        fact.slots,
        fact.memoryUsedTokens,
        fact.memoryTotalTokens,
        fact.models,
        (fact.withdrawn ? 1 : 0) + (fact.reachable ? 2 : 0),
        fact.ageMs,
    ],
    decode: row => {
        const [endpoint, reportSequence, prefill, running, slots, used, total, models, flags, ageMs] = row;
        return {
            kind: "endpoint",
            endpoint,
            reportSequence,
            queuedPrefillTokens: prefill,
            runningRequests: running,
            slots,
            memoryUsedTokens: used,
            memoryTotalTokens: total,
            models,
            withdrawn: ((flags as number) & 1) > 0,
            reachable: ((flags as number) & 2) > 0,
            ageMs,
        } as EndpointDigest;
    },
};

const hostCodec: RowCodec<HostFact> = {
    code: 1,
    encode: fact => [fact.host, fact.failureDomain, fact.peerAddress, fact.leaving, fact.revision],
    decode: ([host, failureDomain, peerAddress, leaving, revision]) =>
        ({ kind: "host", host, failureDomain, peerAddress, leaving, revision }) as HostFact,
};

const demandCodec: RowCodec<DemandFact> = {
    code: 2,
    encode: fact => [fact.scope, fact.isDomainSum, Object.entries(fact.demand).flat()],
    decode: ([scope, isDomainSum, flat]) => {
        const values = flat as unknown[];
        const entries = Array.from(
            { length: values.length / 2 },
            (_unused, index) => values.slice(2 * index, 2 * index + 2),
        );
        return {
            kind: "demand",
            scope,
            isDomainSum,
            demand: Object.fromEntries(entries as [string, number][]),
        } as DemandFact;
    },
};

const stopCodec: RowCodec<StopFact> = {
    code: 3,
    encode: fact => [fact.endpoint, fact.lendEpoch, fact.reason],
    decode: ([endpoint, lendEpoch, reason]) => ({ kind: "stop", endpoint, lendEpoch, reason }) as StopFact,
};

const codecs = {
    endpoint: endpointCodec,
    host: hostCodec,
    demand: demandCodec,
    stop: stopCodec,
} as unknown as Record<Fact["kind"], RowCodec<Fact>>;
const codecsByCode = new Map(Object.values(codecs).map(codec => [codec.code, codec]));

/** Encoded facts of one message. */
export interface FactRows {
    /** Publishing hosts, each with its incarnation. Rows refer to them by index. */
    readonly origins: readonly (readonly [HostId, IncarnationId])[];
    /** Lowest sequence number of the facts. Rows contain theirs relative to it. */
    readonly base: number;
    /** Each row: origin index, relative sequence number, kind code, values of the fact. */
    readonly rows: readonly Row[];
}

/** Encodes facts. Each origin is encoded only once. */
export function encodeFacts(facts: readonly VersionedFact[]): FactRows {
    const base = facts.reduce((lowest, fact) => Math.min(lowest, fact.sequence), Number.MAX_SAFE_INTEGER);
    const origins = new Map<string, { index: number; origin: [HostId, IncarnationId]; }>();
    const rows = facts.map(({ origin, incarnation, sequence, fact }) => {
        const indexedOrigin = origins.get(incarnation) ?? { index: origins.size, origin: [origin, incarnation] };
        origins.set(incarnation, indexedOrigin);
        const codec = codecs[fact.kind];
        return [indexedOrigin.index, sequence - base, codec.code, ...codec.encode(fact)];
    });
    return { origins: [...origins.values()].map(({ origin }) => origin), base, rows };
}

/** Decodes the facts that `encodeFacts` has encoded. Throws `RangeError` if an origin index or kind code is unknown. */
export function decodeFacts({ origins, base, rows }: FactRows): VersionedFact[] {
    return rows.map(([index, relative, code, ...values]) => {
        const origin = origins[index as number];
        const codec = codecsByCode.get(code as number);
        if (origin === undefined || codec === undefined) {
            throw new RangeError("fact row with an unknown origin index or kind code");
        }
        const fact = codec.decode(values);
        const key = toFactKey(fact);
        return { key, origin: origin[0], incarnation: origin[1], sequence: base + (relative as number), fact };
    });
}
