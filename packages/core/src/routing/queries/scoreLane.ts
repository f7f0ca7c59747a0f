import type { EndpointView } from "../../endpoints/model/endpointView.js";
import { isLongClass } from "../../model/lengthClass.js";
import type { RoutingInput } from "../model/routing.js";

/**
 * Scores the lane of an endpoint: 0 on the lane of the request, else a penalty in milliseconds. It is larger for long
 * prompts on the short lane, where they delay short requests, than for short requests on the long lane.
 */
export function scoreLane(input: RoutingInput, view: EndpointView): number {
    const isLongLane = input.lanes.longLane.has(view.endpoint);
    if (isLongClass(input.request.lengthClass) === isLongLane) {
        return 0;
    }
    const weight = input.settings.shortRequestWeight;
    return isLongLane ? 100 + 200 * weight : 1_000 + 4_000 * weight;
}
