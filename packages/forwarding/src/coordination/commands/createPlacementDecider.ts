import type { EngineProfile } from "../../configuration/model/servingConfiguration.js";
import type { Endpoint, EndpointDirectory } from "../../endpoints/model/endpointDirectory.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { FleetView } from "../../peers/model/fleetView.js";
import { countPermitsLeft } from "../../permits/queries/countPermitsLeft.js";
import { defaultPlacementWeights } from "../../placement/model/placementWeights.js";
import type { PromptPlacement } from "../../placement/model/promptPlacement.js";
import { listLoads } from "../../requests/queries/listLoads.js";
import type { PlacementAnswer, PlacementQuery } from "../model/placementQuery.js";
import { decidePlacement } from "../queries/decidePlacement.js";

/** Creates the decision of a coordinator, which takes the permits that a placement needs. */
export function createPlacementDecider(
    context: ForwardingContext,
    fleet: FleetView,
): (query: PlacementQuery) => PlacementAnswer {
    const { directory } = context;
    const localDomain = directory.localFailureDomain;
    const decide = (query: PlacementQuery, engine: EngineProfile, permitsLeft: number): PlacementAnswer => {
        const nowMs = performance.now();
        return decidePlacement(query, {
            context: { engine, hostDomain: localDomain, nowMs, weights: defaultPlacementWeights },
            listLoads: domain =>
                listLoads(context, query.service, nowMs, domain)
                    .filter(load => context.permits.hasRoom(load.endpoint, permitsLeft)),
            otherDomains: [...new Set(directory.listReady(query.service).map(({ entry }) => entry.failureDomain))]
                .filter(domain => domain !== localDomain && fleet.listCoordinators(domain).length > 0),
            random: Math.random(),
        });
    };
    return query => {
        const engine = context.getConfiguration()?.services.get(query.service)?.engine;
        if (engine === undefined) {
            return { kind: "unavailable" };
        }
        const permitsLeft = countPermitsLeft(engine, query.promptTokens);
        const answer = decide(query, engine, permitsLeft);
        if (answer.kind !== "placed") {
            return answer;
        }
        const endpoints = listEndpoints(directory, answer.placement);
        return context.permits.grant({ endpoints, permitsLeft }) ? answer : { kind: "none" };
    };
}

const listEndpoints = (
    directory: EndpointDirectory,
    { primaryId, helperShards }: PromptPlacement,
): readonly Endpoint[] =>
    [primaryId, ...helperShards.map(shard => shard.endpointId)].flatMap(id => directory.get(id) ?? []);
