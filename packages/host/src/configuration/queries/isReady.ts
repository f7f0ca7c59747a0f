import { isStartComplete } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";

/**
 * Whether the host may serve: it knows the newest configuration that it can know, some platform read has confirmed it,
 * without which no endpoint may be used, and it is not leaving.
 */
export const isReady = (context: HostContext): boolean =>
    !context.draining
    && context.configuration.freshness.confirmedAt !== undefined
    && isStartComplete(context.configuration.start);
