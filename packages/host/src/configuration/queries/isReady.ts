import { isStartComplete } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";

/**
 * Whether the host may serve: it is not draining, a platform read has confirmed its configuration (no endpoint may be
 * used without one), and its startup has obtained the newest configuration that is available from the platform and the
 * seeds.
 */
export const isReady = (context: HostContext): boolean =>
    !context.draining
    && context.configuration.freshness.confirmedAt !== undefined
    && isStartComplete(context.configuration.start);
