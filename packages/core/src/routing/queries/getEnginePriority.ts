import type { Priority } from "@currantrill/protocol";
import type { EndpointView } from "../../endpoints/model/endpointView.js";
import type { LengthClass } from "../../model/lengthClass.js";
import type { RoutingRequest } from "../model/routing.js";

/**
 * `long` and `huge` have one priority and run in the order of arrival: a paused huge prompt would hold its memory
 * longer.
 */
const CLASS_PRIORITY: Record<LengthClass, number> = { short: 12, medium: 8, long: 0, huge: 0 };
/** A gang holds memory on several engines until its slowest member has finished, so it runs before long prompts. */
const GANG_PRIORITY = 4;
const REQUEST_PRIORITY: Record<Priority, number> = { interactive: 2, standard: 0, batch: -16 };
/** Added for requests of the workspace that owns the endpoint's pool. */
const OWNER_PRIORITY = 1;

/**
 * Priority of a request on an engine, higher first: short prompts before long ones, batch work after everything else.
 * Within a length class the caller's priority decides, then whether the workspace owns the endpoint's pool.
 */
export function getEnginePriority(request: RoutingRequest, view: EndpointView): number {
    const ownerPriority = view.poolOwner === request.workspace ? OWNER_PRIORITY : 0;
    return CLASS_PRIORITY[request.lengthClass] + getRequestPriority(request) + ownerPriority;
}

/** Priority of a gang, the same on all its engines whichever workspace owns them. */
export function getGangPriority(request: RoutingRequest): number {
    return GANG_PRIORITY + getRequestPriority(request);
}

/** Priority that the caller requested, regardless of the length of the prompt. */
export function getRequestPriority(request: RoutingRequest): number {
    return REQUEST_PRIORITY[request.priority];
}
