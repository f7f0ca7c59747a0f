/**
 * Placement of prompts in a large fleet. The coordinator of a failure domain decides for all its hosts, because it alone
 * knows each assignment there at once. Nothing exclusive is granted: if two hosts coordinate for a while, their
 * decisions are only less well informed.
 */
import { type FailureDomainId, readClocks } from "@currantrill/protocol";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { PeerSocket } from "../../peers/commands/openPeerSocket.js";
import type { FleetView } from "../../peers/model/fleetView.js";
import type { PromptPlacement } from "../../placement/model/promptPlacement.js";
import { buildAssignedWork } from "../../placement/queries/buildAssignedWork.js";
import { createAvoidance } from "../model/avoidance.js";
import { createCoordinatorReadiness } from "../model/coordinatorReadiness.js";
import type { PlacementAnswer, PlacementQuery, PromptQuery } from "../model/placementQuery.js";
import { decodeQuery, encodeAnswer } from "../queries/placementCodec.js";
import { createPlacementClient, type PlacementReply } from "./createPlacementClient.js";
import { createPlacementDecider } from "./createPlacementDecider.js";

/** Interval at which a coordinator checks whether it was paused. */
const READINESS_CHECK_MS = 250;

/** A placement by a coordinator. */
export interface CoordinatedPlacement {
    readonly placement: PromptPlacement;
    /** Must be called once this host has added the assignments, or will not: until then the coordinator keeps them. */
    readonly settle: () => void;
}

export interface Coordination {
    /** Asks the coordinators where to serve a prompt. Resolves with `undefined` if none can tell. */
    readonly placePrompt: (query: PromptQuery) => Promise<CoordinatedPlacement | undefined>;
    /** Returns the id up to which all queries of this host are settled. */
    readonly getSettledQuery: () => number;
    readonly close: () => void;
}

export interface CoordinationOptions {
    readonly context: ForwardingContext;
    readonly socket: PeerSocket;
    readonly fleet: FleetView;
    /** Address of this host. */
    readonly address: string;
}

/** Starts to answer queries of peers. */
export function startCoordination({ context, socket, fleet, address }: CoordinationOptions): Coordination {
    const { directory, log, metrics } = context;
    const localDomain = directory.localFailureDomain;
    const readiness = createCoordinatorReadiness();
    const client = createPlacementClient({
        socket,
        address,
        onAnswer: outcome => metrics.placementQueries.inc({ outcome }),
    });
    const avoidance = createAvoidance();

    const decide = createPlacementDecider(context, fleet);
    const answerQuery = (from: string, id: number, query: PlacementQuery): PlacementAnswer => {
        if (!readiness.isReady(readClocks())) {
            return { kind: "unavailable" };
        }
        const answer = decide(query);
        if (answer.kind === "placed") {
            const engine = context.getConfiguration()?.services.get(query.service)?.engine;
            const work = buildAssignedWork(engine, query, answer.placement);
            context.assignmentRegistry.grant(from, id, work, performance.now());
        }
        return answer;
    };
    const askSelf = (query: PlacementQuery): PlacementReply | undefined =>
        readiness.isReady(readClocks()) ? { answer: decide(query), settle: () => undefined } : undefined;
    const askDomain = async (domain: FailureDomainId, query: PlacementQuery): Promise<PlacementReply | undefined> => {
        for (const coordinator of avoidance.sort(fleet.listCoordinators(domain))) {
            const reply = coordinator === address ? askSelf(query) : await client.ask(coordinator, query);
            if (reply !== undefined && reply.answer.kind !== "unavailable") {
                avoidance.clear(coordinator);
                return reply;
            }
            avoidance.add(coordinator);
            log.info(
                { coordinator, answer: reply?.answer.kind ?? "none" },
                "coordination: coordinator could not answer",
            );
        }
        return undefined;
    };
    const placePrompt = async (prompt: PromptQuery): Promise<CoordinatedPlacement | undefined> => {
        const first = await askDomain(localDomain, { ...prompt, mayRedirect: true });
        if (first?.answer.kind !== "redirected") {
            return describeReply(first);
        }
        const { domain, localCost } = first.answer;
        const remote = await askDomain(domain, { ...prompt, mayRedirect: false, maxCost: localCost });
        return describeReply(remote) ?? describeReply(await askDomain(localDomain, { ...prompt, mayRedirect: false }));
    };
    socket.setHandler("query", fields => {
        const { from, id, query } = decodeQuery(fields);
        socket.send(encodeAnswer({ id, answer: answerQuery(from, id, query) }), [from]);
    });
    const timer = setInterval(
        () => readiness.check(!fleet.isSmallFleet() && fleet.isCoordinator(), readClocks()),
        READINESS_CHECK_MS,
    );
    return {
        placePrompt,
        getSettledQuery: client.getSettledQuery,
        close: () => clearInterval(timer),
    };
}

const describeReply = (reply: PlacementReply | undefined): CoordinatedPlacement | undefined =>
    reply?.answer.kind === "placed" ? { placement: reply.answer.placement, settle: reply.settle } : undefined;
