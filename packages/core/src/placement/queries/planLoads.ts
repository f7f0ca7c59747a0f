/** Compares the declared models with those that the endpoints hold. */
import type { EndpointId } from "@currantrill/protocol";
import { rankByRendezvous } from "../../membership/queries/rankByRendezvous.js";
import type { ModelObject } from "../../model/configuration.js";
import { formatAdapterName, formatModelVersion, type NeededLoad, type PlacementEndpoint } from "../model/placement.js";

/**
 * Chooses the endpoints of one pool that are to hold a model. Endpoints that hold it are kept, so that no copy moves
 * without need; missing copies go to the first endpoints in rendezvous order, in the domains with the fewest copies.
 */
export function assignModel(model: ModelObject, endpoints: readonly PlacementEndpoint[]): EndpointId[] {
    const usable = endpoints.filter(endpoint => endpoint.isUsable);
    const byId = new Map(usable.map(endpoint => [endpoint.endpoint, endpoint]));
    const ranked = rankByRendezvous(`model/${model.name}`, [...byId.keys()])
        .flatMap(id => byId.get(id) ?? []);
    const modelVersion = formatModelVersion(model);
    const chosen = ranked.filter(endpoint => endpoint.models.includes(modelVersion)).slice(0, model.replicas);
    const remaining = ranked.filter(endpoint => !chosen.includes(endpoint));
    while (chosen.length < model.replicas && remaining.length > 0) {
        const countIn = (domain: string): number => chosen.filter(entry => entry.failureDomain === domain).length;
        const fewest = Math.min(...remaining.map(entry => countIn(entry.failureDomain)));
        const index = remaining.findIndex(entry => countIn(entry.failureDomain) === fewest);
        chosen.push(...remaining.splice(index, 1));
    }
    return chosen.map(entry => entry.endpoint);
}

/** Lists the missing loads, the most urgent first. All hosts with the same load reports list the same order. */
export function planLoads(models: readonly ModelObject[], endpoints: readonly PlacementEndpoint[]): NeededLoad[] {
    const needed = models.flatMap(model =>
        model.pools.flatMap(pool => listMissingLoads(model, endpoints.filter(endpoint => endpoint.pool === pool)))
    );
    return needed.sort((a, b) => a.copies - b.copies || (formatLoadKey(a) < formatLoadKey(b) ? -1 : 1));
}

function listMissingLoads(model: ModelObject, members: readonly PlacementEndpoint[]): NeededLoad[] {
    const modelVersion = formatModelVersion(model);
    const copies = members.filter(entry => entry.isUsable && entry.models.includes(modelVersion)).length;
    const assigned = new Set(assignModel(model, members));
    return members
        .filter(({ endpoint }) => assigned.has(endpoint))
        .flatMap(({ endpoint, failureDomain, models }) => {
            const load = { endpoint, failureDomain, model: model.name, version: model.version, copies };
            const adapters = model.adapters.filter(adapter => !models.includes(formatAdapterVersion(model, adapter)));
            // An adapter needs its model first.
            return models.includes(modelVersion)
                ? adapters.map((adapter): NeededLoad => ({ ...load, adapter }))
                : [{ ...load, adapter: undefined }];
        });
}

const formatAdapterVersion = ({ name, version }: ModelObject, adapter: string): string =>
    formatModelVersion({ name: formatAdapterName(name, adapter), version });

/** Formats the key of a load, which is unique for endpoint, model or adapter, and version. */
export const formatLoadKey = ({ endpoint, model, version, adapter }: NeededLoad): string =>
    `${endpoint}/${adapter === undefined ? model : formatAdapterName(model, adapter)}@${version}`;

/**
 * Lists the models that an endpoint should not hold: those not declared for its pool, and other versions of declared
 * ones. They result from orders with an old fencing token on endpoints that do not check it. Nothing is listed while a
 * declared version is missing.
 */
export function listObsoleteModels(endpoint: PlacementEndpoint, models: readonly ModelObject[]): string[] {
    const declared = models.filter(model => model.pools.includes(endpoint.pool));
    const isCurrent = (loaded: string): boolean => declared.some(model => listReportedNames(model).includes(loaded));
    const isReplaced = declared
        .filter(model => endpoint.models.some(loaded => loaded.startsWith(`${model.name}@`)))
        .every(model => endpoint.models.includes(formatModelVersion(model)));
    return declared.length > 0 && isReplaced ? endpoint.models.filter(loaded => !isCurrent(loaded)) : [];
}

/** Lists the names that an endpoint with a model and its adapters reports. */
export const listReportedNames = (model: ModelObject): string[] => [
    formatModelVersion(model),
    ...model.adapters.map(adapter => formatAdapterVersion(model, adapter)),
];
