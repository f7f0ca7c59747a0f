import { type TicketNumber, toTicketNumber } from "@currantrill/protocol";
import type { Configuration } from "../../model/configuration.js";

/**
 * Computes a number for a new ticket: one more than the highest known one. `newest` is the number of the newest ticket,
 * which may have left no object. The number may still be taken by an earlier ticket that only removed objects.
 */
export function computeNextTicketNumber(configuration: Configuration, newest: TicketNumber | undefined): TicketNumber {
    const highest = Object.values(configuration.objects).reduce(
        (highestSoFar, stored) => Math.max(highestSoFar, stored.ticket),
        newest ?? 0,
    );
    return toTicketNumber(highest + 1);
}
