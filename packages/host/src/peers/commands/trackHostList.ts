/** Registers the host in the platform's host list, and reads who else is in it. */
import { mergeHostList } from "@currantrill/core";
import { type ListedHost, toFailureDomainId, toHostId, toIncarnationId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";

/**
 * Time between two reads for each member of the fleet. The list grows with the fleet, so that reading it less often in a
 * larger one keeps its bytes for each host at the same rate.
 */
const READ_INTERVAL_PER_MEMBER_MS = 200;
const MIN_READ_INTERVAL_MS = 3_000;

export interface HostListTracker {
    /** Marks the host as leaving. */
    readonly leave: () => Promise<void>;
    /** Removes the host from the list and stops reading. */
    readonly stop: () => Promise<void>;
}

/** Starts following. Failures are logged and tried again with the next read. */
export function trackHostList(context: HostContext): HostListTracker {
    let registered: ListedHost["state"] | undefined;
    let timer: NodeJS.Timeout | undefined;
    let isStopped = false;
    const register = async (state: ListedHost["state"]): Promise<void> => {
        context.metrics.platformRequests.inc({ use: "hostList", operation: "write" });
        await context.hostList.putHost(createListedHost(context, state));
        registered = state;
    };
    const follow = async (): Promise<void> => {
        try {
            if (registered === undefined) {
                await register("live");
            }
            await readHostList(context);
        }
        catch (error) {
            context.log.warn({ err: error }, "peers: host list not reachable");
        }
        if (!isStopped) {
            timer = setTimeout(() => void follow(), computeReadInterval(context));
        }
    };
    void follow();
    return {
        leave: () => register("leaving").catch(ignoreFailure),
        stop: async () => {
            isStopped = true;
            clearTimeout(timer);
            await context.hostList.removeHost(context.fleet.self).catch(ignoreFailure);
        },
    };
}

/** The host list drops hosts that it no longer hears of, so a host that cannot sign off is removed all the same. */
const ignoreFailure = (): void => undefined;

function computeReadInterval(context: HostContext): number {
    const intervalMs = READ_INTERVAL_PER_MEMBER_MS * context.fleet.membership.members.size;
    return Math.max(MIN_READ_INTERVAL_MS, intervalMs) * (0.75 + Math.random() / 2);
}

async function readHostList(context: HostContext): Promise<void> {
    context.metrics.platformRequests.inc({ use: "hostList", operation: "read" });
    const hosts = await context.hostList.listHosts();
    const infos = hosts.map(host => ({
        host: toHostId(host.id),
        incarnation: toIncarnationId(host.incarnation),
        failureDomain: toFailureDomainId(host.failureDomain),
        peerAddress: host.peerAddress,
        leaving: host.state === "leaving",
    }));
    const others = infos.filter(info => info.host !== context.fleet.self);
    context.fleet.membership = mergeHostList(context.fleet.membership, others, performance.now());
}

function createListedHost({ fleet, settings, incarnation }: HostContext, state: ListedHost["state"]): ListedHost {
    return {
        id: fleet.self,
        failureDomain: fleet.failureDomain,
        peerAddress: settings.listen.peers,
        incarnation,
        state,
    };
}
