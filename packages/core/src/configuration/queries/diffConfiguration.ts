/** Differences between configurations, so that a change is distributed without the complete configuration. */
import type { Revision } from "@currantrill/protocol";
import type { Configuration, ObjectKey, StoredObject } from "../../model/configuration.js";

/** Change from the configuration with revision `base` to the one with `revision`. JSON-serializable. */
export interface ConfigurationDifference {
    readonly base: Revision;
    readonly revision: Revision;
    readonly set: Readonly<Record<ObjectKey, StoredObject>>;
    readonly removed: readonly ObjectKey[];
}

/** Compares objects by their ticket: a ticket sets complete objects, so the same ticket means the same contents. */
export function diffConfiguration(from: Configuration, to: Configuration): ConfigurationDifference {
    const changed = Object.entries(to.objects).filter(([key, stored]) =>
        from.objects[key as ObjectKey]?.ticket !== stored.ticket
    );
    const removed = (Object.keys(from.objects) as ObjectKey[]).filter(key => to.objects[key] === undefined);
    return { base: from.revision, revision: to.revision, set: Object.fromEntries(changed), removed };
}

/** Applies a difference; `undefined` if it starts from another revision. */
export function applyDifference(
    configuration: Configuration,
    difference: ConfigurationDifference,
): Configuration | undefined {
    if (configuration.revision !== difference.base) {
        return undefined;
    }
    const removed = new Set<string>(difference.removed);
    const kept = Object.entries(configuration.objects).filter(([key]) => !removed.has(key));
    return { revision: difference.revision, objects: { ...Object.fromEntries(kept), ...difference.set } };
}

/** Joins consecutive differences, oldest first. `undefined` if there are none. */
export function joinDifferences(differences: readonly ConfigurationDifference[]): ConfigurationDifference | undefined {
    const first = differences[0];
    return first === undefined ? undefined : differences.slice(1).reduce(joinPair, first);
}

function joinPair(first: ConfigurationDifference, second: ConfigurationDifference): ConfigurationDifference {
    const set = Object.entries(first.set).filter(([key]) => !second.removed.includes(key as ObjectKey));
    const removed = first.removed.filter(key => second.set[key] === undefined);
    return {
        base: first.base,
        revision: second.revision,
        set: { ...Object.fromEntries(set), ...second.set },
        removed: [...new Set([...removed, ...second.removed])],
    };
}
