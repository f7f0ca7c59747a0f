import type { FailureDomainId } from "@currantrill/protocol";
import type { EndpointView } from "../../endpoints/model/endpointView.js";

/**
 * Whether the endpoints outside the evacuated domains have, when idle, the memory for a prompt. A pending prompt for
 * which they do not is refused at once instead of at its deadline. Always true if none of the endpoints is evacuated:
 * other causes, such as a failed attempt, pass by themselves.
 */
export function canServeOutsideEvacuations(
    views: readonly EndpointView[],
    evacuatedDomains: ReadonlySet<FailureDomainId>,
    neededTokens: number,
): boolean {
    const remaining = views.filter(view => !evacuatedDomains.has(view.failureDomain));
    const memoryTokens = remaining.reduce((sum, view) => sum + view.memoryTokens, 0);
    return remaining.length === views.length || memoryTokens >= neededTokens;
}
