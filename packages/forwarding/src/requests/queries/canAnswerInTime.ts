import type { RequestKind } from "../../configuration/model/servingConfiguration.js";
import type { Exchange } from "../model/exchange.js";

/** Time in which the answer to a request is complete, by the kind of its route; long streams take a few seconds. */
const ANSWER_MS: Readonly<Record<RequestKind, number>> = { once: 1_000, repeatable: 1_000, stream: 5_000 };

/** Returns whether the answer will be complete, or late in any case, before the host stops at `stopsAtMs`. */
export const canAnswerInTime = ({ route, startedAtMs, deadlineAtMs }: Exchange, stopsAtMs: number): boolean =>
    Math.min(startedAtMs + ANSWER_MS[route.kind], deadlineAtMs) <= stopsAtMs;
