/** Registers this host in the platform's host list and discovers the other hosts from it. */
import { mergeHostList } from "@currantrill/core";
import { type ListedHost, toFailureDomainId, toHostId, toIncarnationId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";

/**
 * Poll interval for each member of the fleet. The size of the list grows with the fleet, so that an interval in
 * proportion to it keeps the bytes per second that each host reads constant.
 */
const READ_INTERVAL_PER_MEMBER_MS = 200;
/** Shortest poll interval, for small fleets. */
const MIN_READ_INTERVAL_MS = 3_000;

export interface HostListTracker {
    /** Marks this host as leaving in the list. A failure is ignored. */
    readonly markLeaving: () => Promise<void>;
    /** Stops polling and removes this host from the list. A failure is ignored. */
    readonly stop: () => Promise<void>;
}

/** Starts to register and poll. Failures are logged and retried with the next poll. */
export function trackHostList(context: HostContext): HostListTracker {
    let registered: ListedHost["state"] | undefined;
    let timer: NodeJS.Timeout | undefined;
    let isStopped = false;
    const register = async (state: ListedHost["state"]): Promise<void> => {
        context.metrics.platformRequests.inc({ use: "hostList", operation: "write" });
        await context.hostList.putHost(createListedHost(context, state));
        registered = state;
    };
    const pollHostList = async (): Promise<void> => {
        try {
            if (registered === undefined) {
                await register("live");
            }
            await readHostList(context);
        }
        catch (error) {
            context.log.warn({ err: error }, "peers: cannot access the host list");
        }
        if (!isStopped) {
            timer = setTimeout(() => void pollHostList(), computeReadInterval(context));
        }
    };
    void pollHostList();
    return {
        markLeaving: () => register("leaving").catch(handleFailure),
        stop: async () => {
            isStopped = true;
            clearTimeout(timer);
            await context.hostList.removeHost(context.fleet.self).catch(handleFailure);
        },
    };
}

/** Ignores the failure: the host list expires hosts that no longer renew their entry. */
const handleFailure = (): void => undefined;

/** Poll interval in milliseconds, with a jitter of up to 25% in both directions. */
function computeReadInterval(context: HostContext): number {
    const intervalMs = READ_INTERVAL_PER_MEMBER_MS * context.fleet.membership.members.size;
    return Math.max(MIN_READ_INTERVAL_MS, intervalMs) * (0.75 + Math.random() / 2);
}

/** Reads the host list and merges the other hosts into the membership. */
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
    const otherHosts = infos.filter(info => info.host !== context.fleet.self);
    context.fleet.membership = mergeHostList(context.fleet.membership, otherHosts, performance.now());
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
