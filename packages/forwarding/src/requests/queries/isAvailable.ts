import { readClocks } from "@currantrill/protocol";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { CandidateLoad } from "./listLoads.js";

/** Returns whether this host may send the endpoint a request now, by what the endpoint states about itself. */
export const isAvailable = (
    { permits }: ForwardingContext,
    { endpoint }: CandidateLoad,
    permitsLeft: number,
): boolean => endpoint.notices.getPauseMs(readClocks()) === 0 && permits.hasRoom(endpoint, permitsLeft);
