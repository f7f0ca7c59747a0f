import type { HistoryRecorder } from "../model/history.js";
import type { FaultKind, ScheduledFault } from "./faults.js";
import type { Timeline } from "./timeline.js";

interface Cut {
    readonly from: "platform" | "peers" | "endpoint";
    readonly all: boolean;
}

const cuts: Partial<Record<FaultKind, Cut>> = {
    storeOutage: { from: "platform", all: true },
    storeSlow: { from: "platform", all: true },
    storeLosesAnswers: { from: "platform", all: true },
    cutFromStore: { from: "platform", all: false },
    peersSlow: { from: "peers", all: true },
    cutDomains: { from: "peers", all: true },
    endpointDown: { from: "endpoint", all: true },
    endpointLosesAnswers: { from: "endpoint", all: true },
    endpointSlow: { from: "endpoint", all: true },
    cutFromEndpoint: { from: "endpoint", all: false },
    cutFromPeers: { from: "peers", all: false },
};

const clockFaults: ReadonlySet<FaultKind> = new Set(["clockAhead", "clockBehind"]);

/** Records what checkers need to know of the faults: who could reach whom, and which clocks jumped. */
export function recordCuts(faults: readonly ScheduledFault[], timeline: Timeline, recorder: HistoryRecorder): void {
    for (const fault of faults) {
        if (clockFaults.has(fault.kind)) {
            const record = (): void => recorder.record({ type: "clockStepped", host: `host-${fault.host}` });
            timeline.schedule(fault.atMs, record);
            timeline.schedule(fault.atMs + fault.durationMs, record);
        }
        const cut = cuts[fault.kind];
        if (cut !== undefined) {
            const subject = { host: cut.all ? undefined : `host-${fault.host}`, from: cut.from };
            timeline.schedule(fault.atMs, () => recorder.record({ type: "cut", ...subject }));
            timeline.schedule(fault.atMs + fault.durationMs, () => recorder.record({ type: "healed", ...subject }));
        }
    }
}
