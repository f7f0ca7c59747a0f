import type { Configuration } from "../../model/configuration.js";

/** Adopts a configuration only if its revision is higher, so that what is in force on a host never reverts. */
export function adoptConfiguration(
    current: Configuration,
    incoming: Configuration,
    onlyHigher = true,
): Configuration {
    return incoming.revision > current.revision || !onlyHigher ? incoming : current;
}
