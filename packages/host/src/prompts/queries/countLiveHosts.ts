import { listLiveHosts } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";

/** Counts the live hosts of the fleet, at least 1 for this host. */
export const countLiveHosts = ({ fleet }: HostContext): number =>
    Math.max(1, listLiveHosts(fleet.membership, performance.now()).length);
