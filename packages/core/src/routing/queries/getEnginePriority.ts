import type { Priority } from "@currantrill/protocol";
import type { EndpointView } from "../../beliefs/model/endpointView.js";
import type { LengthClass } from "../../model/lengthClass.js";
import type { RoutingRequest } from "../model/routing.js";

/** `long` and `huge` are served in the order of arrival: a paused huge prompt would hold its memory for longer. */
const CLASS_PRIORITY: Record<LengthClass, number> = { short: 12, medium: 8, long: 0, huge: 0 };
/** A gang holds memory on several engines until its slowest member is done, so it goes ahead of long prompts. */
const GANG_PRIORITY = 4;
const REQUEST_PRIORITY: Record<Priority, number> = { interactive: 2, standard: 0, batch: -16 };
/** Advantage of the pool owner's requests on its own endpoints. */
const OWNER_PRIORITY = 1;

/**
 * Priority of a request on an engine: short prompts first, batch work behind all else. Within a class the caller's
 * priority decides, then the owner of the endpoint.
 */
export function getEnginePriority(request: RoutingRequest, view: EndpointView): number {
    const ownerPriority = view.poolOwner === request.workspace ? OWNER_PRIORITY : 0;
    return CLASS_PRIORITY[request.lengthClass] + getRequestPriority(request) + ownerPriority;
}

/** Priority on all engines of a gang, whoever owns them. */
export function getGangPriority(request: RoutingRequest): number {
    return GANG_PRIORITY + getRequestPriority(request);
}

/** Priority that the caller asked for, without regard to the prompt. */
export function getRequestPriority(request: RoutingRequest): number {
    return REQUEST_PRIORITY[request.priority];
}
