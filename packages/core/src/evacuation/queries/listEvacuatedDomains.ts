import { type FailureDomainId, toFailureDomainId } from "@currantrill/protocol";
import type { Configuration, DomainObject, StoredObject } from "../../model/configuration.js";

const KEY_PREFIX = "domain/";

/** Lists the domains that the configuration has an object for, readable or not, with the object. */
export function listDomainObjects(configuration: Configuration): (readonly [FailureDomainId, StoredObject])[] {
    return Object.entries(configuration.objects)
        .filter(([key]) => key.startsWith(KEY_PREFIX))
        .map(([key, stored]) => [toFailureDomainId(key.slice(KEY_PREFIX.length)), stored] as const);
}

/**
 * Lists the failure domains that take no new work. The key of an object names its domain, so an object with unreadable
 * content or an unknown state counts as an evacuation.
 */
export function listEvacuatedDomains(configuration: Configuration): ReadonlySet<FailureDomainId> {
    const evacuated = listDomainObjects(configuration).filter(([, stored]) => readState(stored) !== "in_service");
    return new Set(evacuated.map(([domain]) => domain));
}

/** Reads the state of a domain object that another build may have written. */
export const readState = (stored: StoredObject): unknown => (stored.body as Partial<DomainObject> | undefined)?.state;
