/** The configuration in force on a host. */
import {
    beginStart,
    type Clocks,
    type Configuration,
    type ConfigurationDifference,
    emptyConfiguration,
    type Freshness,
    type StartState,
} from "@currantrill/core";
import { toHostId } from "@currantrill/protocol";
import type { HostSettings } from "@currantrill/settings";

export interface ConfigurationHolder {
    /** The newest configuration that the host has seen. */
    current: Configuration;
    /** When the configuration was last known to be the platform's, for lending. */
    freshness: Freshness;
    /** What the start still waits for. Seeds are named by their peer address, since their ids are not known yet. */
    start: StartState;
    /** The last differences, oldest first, for peers that lack few revisions. */
    readonly history: ConfigurationDifference[];
    /** Called with each configuration that comes into force. */
    readonly listeners: Set<(configuration: Configuration) => void>;
}

/** Creates a holder of the empty configuration. */
export function createConfigurationHolder(settings: HostSettings): ConfigurationHolder {
    const seeds = settings.seeds.filter(seed => seed !== settings.listen.peers);
    return {
        current: emptyConfiguration,
        freshness: { confirmedAt: undefined },
        start: beginStart(seeds.map(toHostId)),
        history: [],
        listeners: new Set(),
    };
}

/** Reads both clocks. */
export const readClocks = (): Clocks => ({ wallMs: Date.now(), monotonicMs: performance.now() });
