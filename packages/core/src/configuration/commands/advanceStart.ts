/** Decides when a host that starts without state knows enough of the configuration to serve. */
import type { HostId } from "@currantrill/protocol";
import { type Configuration, emptyConfiguration } from "../../model/configuration.js";
import { adoptConfiguration } from "./adoptConfiguration.js";

export interface StartState {
    readonly configuration: Configuration;
    readonly platform: "asked" | "read" | "unreachable";
    /** What became of the request for a snapshot from each seed. */
    readonly seeds: ReadonlyMap<HostId, "asked" | "answered" | "unreachable">;
}

export type StartEvent =
    /** `head` and its revision were read; an absent head is the empty configuration. */
    | { readonly type: "platformRead"; readonly configuration: Configuration; }
    | { readonly type: "platformFailed"; }
    | { readonly type: "snapshotReceived"; readonly peer: HostId; readonly configuration: Configuration; }
    | { readonly type: "snapshotFailed"; readonly peer: HostId; };

export function beginStart(seeds: readonly HostId[]): StartState {
    return {
        configuration: emptyConfiguration,
        platform: "asked",
        seeds: new Map(seeds.map(seed => [seed, "asked"])),
    };
}

/** Counts one answer. The driver keeps asking the platform and the unreachable seeds until the start is complete. */
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
 * Whether the host may serve. Without the platform every seed has to have answered or failed, and one of them has to have
 * known a configuration: two hosts that both start without one would otherwise declare each other ready.
 */
export function isStartComplete(state: StartState): boolean {
    if (state.platform === "read") {
        return true;
    }
    const settled = [...state.seeds.values()].every(seed => seed !== "asked");
    return state.platform === "unreachable" && settled && state.configuration.revision > 0;
}
