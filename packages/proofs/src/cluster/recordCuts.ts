import type { HistoryRecorder } from "../model/history.js";
import type { FaultKind, ScheduledFault } from "../simulation/faults.js";
import type { Timeline } from "../simulation/timeline.js";

interface Cut {
    readonly from: "platform" | "peers";
    readonly all: boolean;
}

const cuts: Partial<Record<FaultKind, Cut>> = {
    storeOutage: { from: "platform", all: true },
    storeSlow: { from: "platform", all: true },
    storeLosesAnswers: { from: "platform", all: true },
    cutFromStore: { from: "platform", all: false },
    peersSlow: { from: "peers", all: true },
    cutDomains: { from: "peers", all: true },
    cutFromPeers: { from: "peers", all: false },
};

/** Records when faults keep hosts from the platform or from each other, so that checkers know who could know what. */
export function recordCuts(faults: readonly ScheduledFault[], timeline: Timeline, recorder: HistoryRecorder): void {
    for (const fault of faults) {
        const cut = cuts[fault.kind];
        if (cut !== undefined) {
            const subject = { host: cut.all ? undefined : `host-${fault.host}`, from: cut.from };
            timeline.schedule(fault.atMs, () => recorder.record({ type: "cut", ...subject }));
            timeline.schedule(fault.atMs + fault.durationMs, () => recorder.record({ type: "healed", ...subject }));
        }
    }
}
