/** P2: memory held on engines returns to zero, and no running attempt loses its memory to a sweeper. */
import { ALLOCATION_TTL_MS, parseAllocationId } from "@currantrill/core";
import { type EventOfType, type History, listEvents, splitBy } from "../model/history.js";
import { createReachability, type Reachability } from "./reachability.js";

/** Returns a finding for each violation of P2. */
export function checkMemory(history: History): string[] {
    return [...checkReturnsToZero(history), ...checkSweeps(history)];
}

function checkReturnsToZero(history: History): string[] {
    return [...splitBy(listEvents(history, "held"), event => `${event.standin} ${event.allocation}`)].flatMap(
        ([allocation, events]) => {
            const tokens = events.at(-1)?.tokens ?? 0;
            return tokens > 0 ? [`${allocation} holds ${tokens} tokens at the end`] : [];
        },
    );
}

/** A sweeper may release memory of a running attempt only if its owner could not renew it for one time to live. */
function checkSweeps(history: History): string[] {
    const reachability = createReachability(history);
    return listEvents(history, "held").filter(event => event.cause === "releasedBySweeper").flatMap(event => {
        const owner = findActiveOwner(history, event);
        return owner !== undefined && canRenew(reachability, owner, event.atMs)
            ? [`a sweeper releases ${event.allocation} of a running attempt at ${event.atMs}`]
            : [];
    });
}

/** The host that runs the attempt of a released allocation; `undefined` if the attempt has ended. */
function findActiveOwner(history: History, released: EventOfType<"held">): string | undefined {
    const attempt = parseAllocationId(released.allocation)?.attempt;
    const before = history.filter((event): event is EventOfType<"attemptBegan" | "attemptEnded"> =>
        (event.type === "attemptBegan" || event.type === "attemptEnded")
        && event.attempt === attempt
        && event.seq < released.seq
    );
    const last = before.at(-1);
    return last?.type === "attemptBegan" ? last.host : undefined;
}

/** Whether the host ran and could reach the endpoints during the last time to live. */
function canRenew(reachability: Reachability, host: string, atMs: number): boolean {
    const window = { fromMs: atMs - ALLOCATION_TTL_MS, toMs: atMs };
    return reachability.isRunning(host, { fromMs: Math.max(0, window.fromMs), toMs: atMs })
        && reachability.isEndpointReachable(host, window);
}
