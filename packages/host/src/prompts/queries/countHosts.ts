import { listLiveHosts } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";

/** Live hosts of the fleet, at least this one. */
export const countHosts = ({ fleet }: HostContext): number =>
    Math.max(1, listLiveHosts(fleet.membership, performance.now()).length);
