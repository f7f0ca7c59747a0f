/** The configuration in force on a host. */
import { type Configuration, type ConfigurationDifference, emptyConfiguration } from "@currantrill/core";

export interface ConfigurationHolder {
    /** The newest configuration that the host has seen. */
    current: Configuration;
    /** Start of the platform read that last confirmed it, on the monotonic clock; `undefined` before the first. */
    confirmedAtMs: number | undefined;
    /** Whether this host itself has read the platform since its start. */
    hasReadPlatform: boolean;
    /** The last differences, oldest first, for peers that lack few revisions. */
    readonly history: ConfigurationDifference[];
    /** Called with each configuration that comes into force. */
    readonly listeners: Set<(configuration: Configuration) => void>;
}

/** Creates a holder of the empty configuration. */
export function createConfigurationHolder(): ConfigurationHolder {
    return {
        current: emptyConfiguration,
        confirmedAtMs: undefined,
        hasReadPlatform: false,
        history: [],
        listeners: new Set(),
    };
}
