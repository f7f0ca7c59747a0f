import type { Fact, VersionedFact } from "@currantrill/protocol";

/** Compares facts of one key; a positive result means that `a` replaces `b`. */
type CompareFacts = (a: VersionedFact, b: VersionedFact) => number;

const compareSequence: CompareFacts = (a, b) => a.sequence - b.sequence || (a.origin < b.origin ? 1 : -1);

const comparisons: Record<Fact["kind"], CompareFacts> = {
    endpoint: compareSequence,
    host: compareSequence,
    demand: compareSequence,
    stop: (a, b) => getLendEpoch(a) - getLendEpoch(b) || compareSequence(a, b),
};

const getLendEpoch = ({ fact }: VersionedFact): number => fact.kind === "stop" ? fact.lendEpoch : 0;

/**
 * Whether a fact replaces the stored one. The higher sequence wins; a stop is replaced only by one with at least its
 * lend epoch, so that two concurrent stops converge to the stricter one.
 */
export function isNewerFact(candidate: VersionedFact, held: VersionedFact | undefined): boolean {
    if (held === undefined) {
        return true;
    }
    const isSame = candidate.origin === held.origin && candidate.sequence === held.sequence;
    return !isSame && comparisons[candidate.fact.kind](candidate, held) > 0;
}
