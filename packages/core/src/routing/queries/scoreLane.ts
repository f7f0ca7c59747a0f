import type { EndpointView } from "../../beliefs/model/endpointView.js";
import { isLongClass } from "../../model/lengthClass.js";
import type { RoutingInput } from "../model/routing.js";

/** Cost of crossing lanes: long work on the lane of short requests, or short requests behind long prefills. */
export function scoreLane(input: RoutingInput, view: EndpointView): number {
    const isLongLane = input.lanes.longLane.has(view.endpoint);
    if (isLongClass(input.request.lengthClass) === isLongLane) {
        return 0;
    }
    const weight = input.settings.shortRequestWeight;
    return isLongLane ? 100 + 200 * weight : 1_000 + 4_000 * weight;
}
