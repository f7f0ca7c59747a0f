/** Decides when a host that has started without state knows enough of the configuration to serve. */
import type { HostId } from "@currantrill/protocol";
import { type Configuration, emptyConfiguration } from "../../model/configuration.js";
import { adoptConfiguration } from "./adoptConfiguration.js";

/** Progress of a starting host in obtaining the configuration from the platform and its seed peers. */
export interface StartState {
    readonly configuration: Configuration;
    /** State of the read of the platform; `asked` while it is pending. */
    readonly platform: "asked" | "read" | "unreachable";
    /** State of the snapshot request to each seed; `asked` while it is pending. */
    readonly seeds: ReadonlyMap<HostId, "asked" | "answered" | "unreachable">;
}

/** Result of a read of the platform or of a snapshot request to a seed. */
export type StartEvent =
    /** `head` and its revision were read; an absent head is the empty configuration. */
    | { readonly type: "platformRead"; readonly configuration: Configuration; }
    | { readonly type: "platformFailed"; }
    | { readonly type: "snapshotReceived"; readonly peer: HostId; readonly configuration: Configuration; }
    | { readonly type: "snapshotFailed"; readonly peer: HostId; };

/** Creates the initial state, in which the platform and all seeds have been queried. */
export function beginStart(seeds: readonly HostId[]): StartState {
    return {
        configuration: emptyConfiguration,
        platform: "asked",
        seeds: new Map(seeds.map(seed => [seed, "asked"])),
    };
}

/** Applies one result. The driver retries the platform and the unreachable seeds until the start is complete. */
export function advanceStart(state: StartState, event: StartEvent): StartState {
    const configuration = "configuration" in event
        ? adoptConfiguration(state.configuration, event.configuration)
        : state.configuration;
    switch (event.type) {
        case "platformRead":
            return { ...state, configuration, platform: "read" };
        case "platformFailed":
            return { ...state, platform: state.platform === "read" ? "read" : "unreachable" };
        case "snapshotReceived":
            return { ...state, configuration, seeds: new Map(state.seeds).set(event.peer, "answered") };
        case "snapshotFailed":
            return { ...state, seeds: new Map(state.seeds).set(event.peer, "unreachable") };
    }
}

/**
 * Whether the host may serve. Without the platform, every seed must have answered or failed, and one of them must have
 * sent a configuration: otherwise two hosts that both start without one would declare each other ready.
 */
export function isStartComplete(state: StartState): boolean {
    if (state.platform === "read") {
        return true;
    }
    const allSeedsSettled = [...state.seeds.values()].every(seed => seed !== "asked");
    return state.platform === "unreachable" && allSeedsSettled && state.configuration.revision > 0;
}
