import type { Priority } from "@currantrill/protocol";
import type { LengthClass } from "../../model/lengthClass.js";
import type { RoutingRequest } from "../model/routing.js";

const CLASS_PRIORITY: Record<LengthClass, number> = { short: 6, medium: 4, long: 2, huge: 0 };
const REQUEST_PRIORITY: Record<Priority, number> = { interactive: 1, standard: 0, batch: -8 };

/** Priority of a request on the engine: short prompts first, batch work behind all else. */
export function getEnginePriority(request: Pick<RoutingRequest, "lengthClass" | "priority">): number {
    return CLASS_PRIORITY[request.lengthClass] + REQUEST_PRIORITY[request.priority];
}
