/** Checks that every object that another one names exists and is of the right kind. */
import type {
    Configuration,
    ConfigurationObject,
    ObjectKey,
    ObjectKind,
    PoolObject,
} from "../../model/configuration.js";
import type { Finding } from "../../model/finding.js";
import { findObject } from "../../queries/listObjects.js";

interface Reference {
    readonly field: string;
    readonly kind: "pool" | "workspace";
    readonly name: string;
    /** What the named pool must serve. */
    readonly serves?: PoolObject["serves"];
}

type ReferenceTable = { [K in ObjectKind]: (body: Extract<ConfigurationObject, { kind: K; }>) => Reference[]; };

const references: ReferenceTable = {
    pool: body => [{ field: "owner", kind: "workspace", name: body.owner }],
    endpoint: body => [{ field: "pool", kind: "pool", name: body.pool }],
    workspace: () => [],
    rule: body => [
        { field: "workspace", kind: "workspace", name: body.workspace },
        ...body.pools.map((name, index): Reference => ({ field: `pools[${index}]`, kind: "pool", name })),
    ],
    model: body =>
        body.pools.map((name, index): Reference => ({
            field: `pools[${index}]`,
            kind: "pool",
            name,
            serves: "engine",
        })),
    service: body => [{ field: "pool", kind: "pool", name: body.pool, serves: "service" }],
    // A domain may be evacuated before its endpoints are configured; `checkEvacuations` warns of it.
    domain: () => [],
};

/** Checks the references between all objects of a configuration. `source` names the ticket that leads to it. */
export function checkReferences(configuration: Configuration, source: string): Finding[] {
    return Object.entries(configuration.objects).flatMap(([key, { body }]) =>
        listReferences(body).flatMap(reference => checkReference(configuration, source, key as ObjectKey, reference))
    );
}

function listReferences(body: ConfigurationObject | undefined): Reference[] {
    // An object that another build has written may have another kind or no readable body.
    if (body === undefined || !Object.hasOwn(references, body.kind)) {
        return [];
    }
    // The table entry matches the kind of the body; the types cannot express that for a union.
    const list = references[body.kind] as (body: ConfigurationObject) => Reference[];
    return list(body);
}

function checkReference(
    configuration: Configuration,
    source: string,
    key: ObjectKey,
    { field, kind, name, serves }: Reference,
): Finding[] {
    const path = `${key}.${field}`;
    const target = findObject(configuration, kind, name);
    if (target === undefined) {
        return [{ source, path, found: `${name}, which is not a ${kind}`, expected: `the name of a ${kind}` }];
    }
    if (serves !== undefined && target.kind === "pool" && target.serves !== serves) {
        return [{
            source,
            path,
            found: `a pool that serves ${target.serves}`,
            expected: `a pool that serves ${serves}`,
        }];
    }
    return [];
}
