/** Asks the host that grants permits. */
import { createAvoidance } from "../../coordination/model/avoidance.js";
import type { ForwardingMetrics } from "../../model/forwardingMetrics.js";
import { createReplyWaiter } from "../../peers/commands/createReplyWaiter.js";
import type { PeerSocket } from "../../peers/commands/openPeerSocket.js";
import type { FleetView } from "../../peers/model/fleetView.js";
import { createPermitLedger, type PermitLedger } from "../model/permitLedger.js";
import { decodePermitAnswer, encodePermitQuery, type PermitAnswer, type PermitNeed } from "../queries/permitCodec.js";

/** Time for an answer. Within a region it takes a few milliseconds; a host that is starved of processor time, tens. */
const ANSWER_TIMEOUT_MS = 30;

export interface PermitClientOptions {
    readonly socket: PeerSocket;
    readonly fleet: FleetView;
    readonly metrics: Pick<ForwardingMetrics, "permits">;
    /** Address of this host. */
    readonly address: string;
    /** Permits that this host grants. */
    readonly ledger: PermitLedger;
}

/** Asks a host, which may be this one, for permits. */
export type PermitClient = (granter: string, needs: readonly PermitNeed[]) => Promise<PermitAnswer>;

/**
 * Creates a client. While the host that grants permits does not answer, this one takes an equal share of them itself, so
 * that all hosts together stay within the limit.
 */
export function createPermitClient({ socket, fleet, metrics, address, ledger }: PermitClientOptions): PermitClient {
    // Without initial permits: those of all hosts of a large fleet would exceed the limit at once.
    const ownShare = createPermitLedger({ initialPermits: 0 });
    const avoidance = createAvoidance();
    const waiter = createReplyWaiter<PermitAnswer | undefined>(ANSWER_TIMEOUT_MS);
    const takeOwnShare = (needs: readonly PermitNeed[]): PermitAnswer => {
        const hosts = fleet.countHosts();
        const shares = needs.map(need => ({ ...need, requestsPerSecond: need.requestsPerSecond / hosts }));
        return ownShare.grant(shares, performance.now());
    };
    socket.setHandler("permitAnswer", fields => {
        const { id, answer } = decodePermitAnswer(fields);
        waiter.receive(id, answer);
    });
    return async (granter, needs) => {
        if (granter === address) {
            return ledger.grant(needs, performance.now());
        }
        if (avoidance.has(granter)) {
            return takeOwnShare(needs);
        }
        const answer = await waiter.ask(id => socket.send(encodePermitQuery({ from: address, id, needs }), [granter]));
        if (answer === undefined) {
            metrics.permits.inc({ outcome: "no_answer" });
            avoidance.add(granter);
            return takeOwnShare(needs);
        }
        return answer;
    };
}
