import { dropFacts, findObject, getMemberState } from "@currantrill/core";
import type { HostId, VersionedFact } from "@currantrill/protocol";
import { WebSocketServer } from "ws";
import type { HostContext } from "../../model/hostContext.js";
import {
    DOMAIN_BATCH_INTERVAL_MS,
    HOST_FACT_INTERVAL_MS,
    PING_INTERVAL_MS,
    REMOTE_BATCH_INTERVAL_MS,
} from "../model/fleet.js";
import { flushFacts } from "./flushFacts.js";
import { MAX_MESSAGE_BYTES } from "./openConnection.js";
import { publishHostFact } from "./publishFact.js";
import { registerSocket } from "./registerSocket.js";
import { sendMessage } from "./sendMessage.js";
import { updateConnections } from "./updateConnections.js";

/** Interval at which facts about unknown hosts and endpoints are removed. */
const CLEANUP_INTERVAL_MS = 30_000;

export interface RunningPeers {
    /** Announces to all peers at once that the host is leaving. Connections stay open. */
    readonly announceLeaving: () => void;
    /** Stops the timers, terminates all connections and closes the server. */
    readonly stop: () => Promise<void>;
}

/** Listens for peers, connects to them and exchanges facts. Rejects if the address cannot be bound. */
export async function startPeers(context: HostContext): Promise<RunningPeers> {
    const { fleet } = context;
    const server = await openServer(context);
    fleet.server = server;
    const missingSince = new Map<HostId, number>();
    const timers = [
        setInterval(() => updateConnections(context, missingSince), PING_INTERVAL_MS),
        setInterval(() => flushFacts(context, "domain"), DOMAIN_BATCH_INTERVAL_MS),
        setInterval(() => flushFacts(context, "remote"), REMOTE_BATCH_INTERVAL_MS),
        setInterval(() => publishHostFact(context), HOST_FACT_INTERVAL_MS),
        setInterval(() => dropObsoleteFacts(context), CLEANUP_INTERVAL_MS),
    ];
    publishHostFact(context);
    updateConnections(context, missingSince);
    return {
        announceLeaving: () => sendLeaving(context),
        stop: async () => {
            timers.forEach(timer => clearInterval(timer));
            fleet.connections.forEach(connection => connection.socket.terminate());
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };
}

function openServer(context: HostContext): Promise<WebSocketServer> {
    const [host = "", port = ""] = context.settings.listen.peers.split(":");
    return new Promise((resolve, reject) => {
        const server = new WebSocketServer({
            host,
            port: Number(port),
            maxPayload: MAX_MESSAGE_BYTES,
            perMessageDeflate: false,
        });
        server.on("connection", socket => registerSocket(context, socket, { isOutbound: false }));
        server.once("error", reject);
        server.once("listening", () => resolve(server));
    });
}

function sendLeaving(context: HostContext): void {
    const { fleet } = context;
    publishHostFact(context, { urgent: true });
    fleet.connections.forEach(({ socket }) => sendMessage(context, socket, { type: "leaving", host: fleet.self }));
}

/**
 * Removes facts of kind `host` and the demand of single hosts if the host is not a member, or is neither live nor in
 * the host list, and digests of endpoints that are not configured. Stops and the demand sums of domains are kept.
 */
function dropObsoleteFacts(context: HostContext): void {
    const { fleet } = context;
    const now = performance.now();
    const isObsolete = ({ fact }: VersionedFact): boolean => {
        if (fact.kind === "endpoint") {
            return findObject(context.configuration.current, "endpoint", fact.endpoint) === undefined;
        }
        if (fact.kind !== "host" && !(fact.kind === "demand" && !fact.isDomainSum)) {
            return false;
        }
        const member = fleet.membership.members.get((fact.kind === "host" ? fact.host : fact.scope) as HostId);
        return member === undefined || (getMemberState(fleet.membership, member, now) !== "live" && !member.listed);
    };
    fleet.gossip = dropFacts(fleet.gossip, entry => isObsolete(entry.versioned));
}
