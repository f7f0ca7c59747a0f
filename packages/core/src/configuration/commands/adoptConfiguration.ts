import type { Configuration } from "../../model/configuration.js";

/**
 * Adopts a configuration only if its revision is higher, so that the active configuration of a host never reverts. Only
 * the proofs disable this safeguard with `onlyHigher`.
 */
export function adoptConfiguration(
    current: Configuration,
    incoming: Configuration,
    onlyHigher = true,
): Configuration {
    return incoming.revision > current.revision || !onlyHigher ? incoming : current;
}
