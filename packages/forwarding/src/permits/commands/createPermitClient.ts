/** Asks the host that grants permits. */
import { createAvoidance } from "../../coordination/model/avoidance.js";
import type { ForwardingMetrics } from "../../model/forwardingMetrics.js";
import { createReplyWaiter } from "../../peers/commands/createReplyWaiter.js";
import type { PeerSocket } from "../../peers/commands/openPeerSocket.js";
import type { FleetView } from "../../peers/model/fleetView.js";
import type { ColdGranting } from "../../warmup/commands/createColdGranting.js";
import { createPermitLedger } from "../model/permitLedger.js";
import { decodePermitAnswer, encodePermitQuery, type PermitAnswer, type PermitNeed } from "../queries/permitCodec.js";

/** Time for an answer. Within a region it takes a few milliseconds; a host that is starved of processor time, tens. */
const ANSWER_TIMEOUT_MS = 30;
/** An answer that is read later has waited in this process, which was paused; its permits are outdated. */
const MAX_ANSWER_AGE_MS = 2 * ANSWER_TIMEOUT_MS;

export interface PermitClientOptions {
    readonly socket: PeerSocket;
    readonly fleet: Pick<FleetView, "countHosts">;
    readonly metrics: Pick<ForwardingMetrics, "permits">;
    /** Address of this host. */
    readonly address: string;
    /** Grants permits of this host. Returns `undefined` if it grants none to a cold endpoint now. */
    readonly grant: (needs: readonly PermitNeed[]) => PermitAnswer | undefined;
    readonly cold: Pick<ColdGranting, "canTakeShares" | "takeShares">;
}

export interface PermitClient {
    /** Asks a host, which may be this one, for permits. */
    readonly ask: (granter: string, needs: readonly PermitNeed[]) => Promise<PermitAnswer>;
    /** Returns whether this host uses its own share of cold endpoints, because the host has not answered. */
    readonly usesColdShares: (granter: string) => boolean;
}

/**
 * Creates a client. While the host that grants permits does not answer, this one takes an equal share of them itself, so
 * that all hosts together stay within the limit.
 */
export function createPermitClient(options: PermitClientOptions): PermitClient {
    const { socket, fleet, metrics, address, grant, cold } = options;
    // Without initial permits: those of all hosts of a large fleet would exceed the limit at once.
    const ownShare = createPermitLedger({ initialPermits: 0 });
    const avoidance = createAvoidance();
    /** Apart from the others, since a host that does not grant to cold endpoints still grants the limits that they name. */
    const coldAvoidance = createAvoidance();
    const waiter = createReplyWaiter<PermitAnswer | undefined>(ANSWER_TIMEOUT_MS);
    const takeOwnShare = (needs: readonly PermitNeed[]): PermitAnswer => {
        const coldNeeds = needs.filter(({ isCold }) => isCold);
        if (!cold.canTakeShares(coldNeeds)) {
            return { isGranted: false, levels: [] };
        }
        const hosts = fleet.countHosts();
        const shares = needs.filter(({ isCold }) => !isCold)
            .map(need => ({ ...need, requestsPerSecond: need.requestsPerSecond / hosts }));
        const answer = ownShare.grant(shares, performance.now());
        if (answer.isGranted) {
            cold.takeShares(coldNeeds);
        }
        return answer;
    };
    socket.setHandler("permitAnswer", fields => {
        const { id, answer } = decodePermitAnswer(fields);
        waiter.receive(id, answer);
    });
    return {
        usesColdShares: granter => coldAvoidance.has(granter),
        ask: async (granter, needs) => {
            if (granter === address) {
                return grant(needs) ?? takeOwnShare(needs);
            }
            const avoided = needs.some(({ isCold }) => isCold) ? coldAvoidance : avoidance;
            if (avoided.has(granter)) {
                return takeOwnShare(needs);
            }
            const askedAtMs = performance.now();
            const answer = await waiter.ask(id =>
                socket.send(encodePermitQuery({ from: address, id, needs }), [granter])
            );
            if (answer === undefined) {
                metrics.permits.inc({ outcome: "no_answer" });
                avoided.add(granter);
                return takeOwnShare(needs);
            }
            return performance.now() - askedAtMs > MAX_ANSWER_AGE_MS ? { isGranted: false, levels: [] } : answer;
        },
    };
}
