import type { Configuration, ObjectKey, TicketChange } from "@currantrill/core";
import type { PlannedChange } from "@currantrill/protocol";

/** Describes the changes of a ticket by object, with the old and new value of each changed field. */
export function describeChanges(
    before: Configuration,
    after: Configuration,
    changes: readonly TicketChange[],
): PlannedChange[] {
    return changes.map(({ key, action }) => ({ key, action, fields: listFields(before, after, key) }));
}

function listFields(before: Configuration, after: Configuration, key: ObjectKey): PlannedChange["fields"] {
    const old = toFields(before, key);
    const next = toFields(after, key);
    return [...new Set([...Object.keys(old), ...Object.keys(next)])]
        .filter(field => field !== "kind" && field !== "name")
        .filter(field => JSON.stringify(old[field]) !== JSON.stringify(next[field]))
        .map(field => ({ field, before: old[field], after: next[field] }));
}

const toFields = (configuration: Configuration, key: ObjectKey): Record<string, unknown> => ({
    ...configuration.objects[key]?.body,
});
