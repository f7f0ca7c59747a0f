/**
 * Facts as rows of values. A digest takes about 45 bytes as a row and about 290 as an object, and digests are most of
 * the control traffic.
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

interface RowCodec<F extends Fact> {
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

export interface FactRows {
    readonly origins: readonly (readonly [HostId, IncarnationId])[];
    /** Lowest sequence; rows state theirs relative to it. */
    readonly base: number;
    /** Origin index, relative sequence, kind code, values of the fact. */
    readonly rows: readonly Row[];
}

/** Encodes facts, naming each origin once. */
export function encodeFacts(facts: readonly VersionedFact[]): FactRows {
    const base = facts.reduce((lowest, fact) => Math.min(lowest, fact.sequence), Number.MAX_SAFE_INTEGER);
    const origins = new Map<string, { index: number; origin: [HostId, IncarnationId]; }>();
    const rows = facts.map(({ origin, incarnation, sequence, fact }) => {
        const known = origins.get(incarnation) ?? { index: origins.size, origin: [origin, incarnation] };
        origins.set(incarnation, known);
        const codec = codecs[fact.kind];
        return [known.index, sequence - base, codec.code, ...codec.encode(fact)];
    });
    return { origins: [...origins.values()].map(({ origin }) => origin), base, rows };
}

/** Decodes facts. Throws if the rows do not have the form that `encodeFacts` gives them. */
export function decodeFacts({ origins, base, rows }: FactRows): VersionedFact[] {
    return rows.map(([index, relative, code, ...values]) => {
        const origin = origins[index as number];
        const codec = codecsByCode.get(code as number);
        if (origin === undefined || codec === undefined) {
            throw new RangeError("fact with an unknown origin or kind");
        }
        const fact = codec.decode(values);
        const key = toFactKey(fact);
        return { key, origin: origin[0], incarnation: origin[1], sequence: base + (relative as number), fact };
    });
}
