import type { Configuration, ConfigurationObject, ObjectKey, ObjectKind } from "../model/configuration.js";

export type ObjectOfKind<K extends ObjectKind> = Extract<ConfigurationObject, { kind: K; }>;

/** Lists the objects of one kind, sorted by name. */
export function listObjects<K extends ObjectKind>(configuration: Configuration, kind: K): ObjectOfKind<K>[] {
    return Object.values(configuration.objects)
        .map(stored => stored.body as ConfigurationObject | undefined)
        // A configuration that another build has written may hold objects without a readable body.
        .filter((body): body is ObjectOfKind<K> => body?.kind === kind)
        .sort((a, b) => a.name < b.name ? -1 : 1);
}

/** Finds an object by kind and name; `undefined` if the configuration has none. */
export function findObject<K extends ObjectKind>(
    configuration: Configuration,
    kind: K,
    name: string,
): ObjectOfKind<K> | undefined {
    const key: ObjectKey = `${kind}/${name}`;
    return configuration.objects[key]?.body as ObjectOfKind<K> | undefined;
}
