import {
    beginStart,
    type Configuration,
    type ConfigurationDifference,
    emptyConfiguration,
    type Freshness,
    type StartState,
} from "@currantrill/core";
import { toHostId } from "@currantrill/protocol";
import type { HostSettings } from "@currantrill/settings";

/** The active configuration of a host, what is known about its freshness, and the progress of the startup. */
export interface ConfigurationState {
    /** The active configuration: the newest one that the host has received. */
    current: Configuration;
    /** Time at which a platform read last confirmed the configuration. Lending depends on its age. */
    freshness: Freshness;
    /**
     * What the startup still waits for. Seeds are identified by peer address, because their host ids are not known yet.
     */
    start: StartState;
    /** The last differences between revisions, oldest first, for peers that lack only a few revisions. */
    readonly history: ConfigurationDifference[];
    /** Called synchronously with each configuration that becomes active. */
    readonly listeners: Set<(configuration: Configuration) => void>;
}

/** Creates the state with the empty configuration. The startup waits for the seeds of the settings except this host. */
export function createConfigurationState(settings: HostSettings): ConfigurationState {
    const seeds = settings.seeds.filter(seed => seed !== settings.listen.peers);
    return {
        current: emptyConfiguration,
        freshness: { confirmedAt: undefined },
        start: beginStart(seeds.map(toHostId)),
        history: [],
        listeners: new Set(),
    };
}
