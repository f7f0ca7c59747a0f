import type { HistoryRecorder } from "../model/history.js";
import type { FaultKind, ScheduledFault } from "./faults.js";
import type { Timeline } from "./timeline.js";

interface Disconnection {
    readonly from: "platform" | "peers" | "endpoint";
    readonly affectsAllHosts: boolean;
}

/** What each kind of fault disconnects hosts from. Severe delays count as a disconnection. */
const disconnections: Partial<Record<FaultKind, Disconnection>> = {
    storeOutage: { from: "platform", affectsAllHosts: true },
    storeSlow: { from: "platform", affectsAllHosts: true },
    storeLosesAnswers: { from: "platform", affectsAllHosts: true },
    cutFromStore: { from: "platform", affectsAllHosts: false },
    peersSlow: { from: "peers", affectsAllHosts: true },
    cutDomains: { from: "peers", affectsAllHosts: true },
    endpointDown: { from: "endpoint", affectsAllHosts: true },
    endpointLosesAnswers: { from: "endpoint", affectsAllHosts: true },
    endpointSlow: { from: "endpoint", affectsAllHosts: true },
    cutFromEndpoint: { from: "endpoint", affectsAllHosts: false },
    cutFromPeers: { from: "peers", affectsAllHosts: false },
};

const clockFaults: ReadonlySet<FaultKind> = new Set(["clockAhead", "clockBehind"]);

/** Records the faults that checkers have to allow for: lost connectivity and steps of wall clocks. */
export function recordFaults(faults: readonly ScheduledFault[], timeline: Timeline, recorder: HistoryRecorder): void {
    for (const fault of faults) {
        if (clockFaults.has(fault.kind)) {
            const record = (): void => recorder.record({ type: "clockStepped", host: `host-${fault.host}` });
            timeline.schedule(fault.atMs, record);
            timeline.schedule(fault.atMs + fault.durationMs, record);
        }
        const disconnection = disconnections[fault.kind];
        if (disconnection !== undefined) {
            const subject = {
                host: disconnection.affectsAllHosts ? undefined : `host-${fault.host}`,
                from: disconnection.from,
            };
            timeline.schedule(fault.atMs, () => recorder.record({ type: "disconnected", ...subject }));
            timeline.schedule(
                fault.atMs + fault.durationMs,
                () => recorder.record({ type: "reconnected", ...subject }),
            );
        }
    }
}
