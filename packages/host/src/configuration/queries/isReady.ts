import { isStartComplete } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";

/** Whether the host may serve: it knows the newest configuration that it can know, and is not leaving. */
export const isReady = (context: HostContext): boolean =>
    !context.draining && isStartComplete(context.configuration.start);
