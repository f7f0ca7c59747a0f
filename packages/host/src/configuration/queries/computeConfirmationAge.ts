import type { ConfigurationHolder } from "../model/configurationHolder.js";

/** Time since the platform read that confirmed the configuration, in whole milliseconds, never rounded down. */
export function computeConfirmationAge(holder: ConfigurationHolder): number | undefined {
    return holder.confirmedAtMs === undefined ? undefined : Math.ceil(performance.now() - holder.confirmedAtMs);
}
