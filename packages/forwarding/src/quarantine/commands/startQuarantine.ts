/** Finds parts of prompts that crash endpoints, refuses prompts with them on all hosts, and tries them again later. */
import type { ServiceId } from "@currantrill/protocol";
import type { ForwardingSettings } from "@currantrill/settings";
import type Logger from "bunyan";
import type { ForwardingMetrics } from "../../model/forwardingMetrics.js";
import type { EndpointProtocol } from "../../ports/endpointProtocol.js";
import type { TableSource } from "../../ports/tableSource.js";
import type { AttemptTracker, TrackedAttempt } from "../model/attemptTracker.js";
import { describeCrash } from "../model/crashReport.js";
import { getTrialAtMs, type QuarantineEntry } from "../model/quarantineEntry.js";
import { createQuarantineState, type QuarantineState } from "../model/quarantineState.js";
import type { SuspectId } from "../model/suspect.js";
import type { Suspicion } from "../queries/findCulprits.js";
import { type CrashReporter, createCrashReporter } from "./createCrashReporter.js";
import { createQuarantineStore } from "./createQuarantineStore.js";
import { createTrialAcquisition, TRIAL_RETRY_MS } from "./createTrialAcquisition.js";

/** Interval at which parts are isolated that time has proved to be at fault, and old entries are dropped. */
const SWEEP_MS = 250;

/** Whether a prompt may be sent. */
export type Admission =
    | { readonly kind: "admitted"; }
    /** The prompt is the trial of an isolated part. It must not be sent a second time. */
    | { readonly kind: "trial"; readonly trial: QuarantineEntry; }
    | { readonly kind: "isolated"; readonly suspect: SuspectId; readonly retryAfterMs: number; };

export interface Quarantine {
    /** Decides whether a prompt may be sent. */
    readonly admit: (service: ServiceId, parts: readonly SuspectId[]) => Promise<Admission>;
    /** Returns whether a part of a prompt is isolated. */
    readonly isIsolated: (service: ServiceId, parts: readonly SuspectId[]) => boolean;
    /** Returns whether prompts with these parts may be sent no more, or not a second time. */
    readonly isSuspect: (service: ServiceId, parts: readonly SuspectId[]) => boolean;
    /** Starts to follow an attempt. */
    readonly track: (prompt: TrackedAttempt) => AttemptTracker;
    /** Checks whether the endpoint of a broken attempt has crashed, and reports that to all hosts. */
    readonly reportBreak: CrashReporter;
    readonly share: QuarantineState["share"];
    readonly merge: QuarantineState["merge"];
    /** Writes the entries to the store again, because it may have lost them. */
    readonly saveAll: () => void;
    readonly close: () => void;
}

export interface QuarantineOptions {
    readonly getSettings: () => ForwardingSettings["quarantine"];
    readonly log: Logger;
    readonly metrics: Pick<ForwardingMetrics, "isolatedParts" | "crashReports">;
    readonly protocol: EndpointProtocol;
    readonly source: TableSource;
    readonly table: string;
    readonly shouldFollowStore: () => boolean;
    /** Announces the evidence of this host to peers. */
    readonly announce: () => void;
}

/** Starts the quarantine of a host. */
export function startQuarantine(options: QuarantineOptions): Quarantine {
    const { log, metrics } = options;
    const running = new Set<TrackedAttempt>();
    const updateGauge = (): void => metrics.isolatedParts.set(state.list().filter(each => each.isIsolated).length);
    const handleEntry = (entry: QuarantineEntry, suspicion?: Suspicion): void => {
        logEntry(log, entry, suspicion);
        updateGauge();
        if (options.shouldFollowStore()) {
            store.save(entry);
        }
        if (entry.isIsolated) {
            abortUnanswered(running, entry);
        }
    };
    const state = createQuarantineState({
        getSettings: options.getSettings,
        onEntry: handleEntry,
        onForgotten: entry => {
            log.info({ service: entry.service, part: entry.suspect }, "quarantine: entry forgotten");
            updateGauge();
            if (options.shouldFollowStore()) {
                store.remove(entry);
            }
        },
        onNews: options.announce,
    });
    const store = createQuarantineStore({
        source: options.source,
        table: options.table,
        log,
        shouldFollow: options.shouldFollowStore,
        onRead: entries => state.merge({ reports: [], answers: [], entries }, performance.now()),
        getCurrent: ({ service, suspect }) =>
            state.list().find(each => each.service === service && each.suspect === suspect),
    });
    const acquireTrial = createTrialAcquisition({ log, state, store });
    const timer = setInterval(() => state.sweep(performance.now()), SWEEP_MS);
    return {
        admit: async (service, parts) => {
            const entry = state.findIsolated(service, parts);
            if (entry === undefined) {
                return { kind: "admitted" };
            }
            const trialAtMs = getTrialAtMs(entry, options.getSettings().retry_after_ms);
            const trial = performance.now() >= trialAtMs ? await acquireTrial(entry) : undefined;
            return trial === undefined
                ? {
                    kind: "isolated",
                    suspect: entry.suspect,
                    retryAfterMs: Math.max(TRIAL_RETRY_MS, trialAtMs - performance.now()),
                }
                : { kind: "trial", trial };
        },
        isIsolated: (service, parts) => state.findIsolated(service, parts) !== undefined,
        isSuspect: (service, parts) => state.isSuspect(service, parts, performance.now()),
        track: prompt => {
            running.add(prompt);
            let isAnswered = false;
            return {
                recordAnswer: beganAtMs => {
                    running.delete(prompt);
                    if (!isAnswered) {
                        isAnswered = true;
                        state.recordAnswer(prompt.service, prompt.parts, beganAtMs);
                        releaseAnswered(state, prompt);
                    }
                },
                end: () => void running.delete(prompt),
            };
        },
        reportBreak: createCrashReporter({ ...options, state }),
        share: state.share,
        merge: state.merge,
        saveAll: () => (options.shouldFollowStore() ? state.list() : []).forEach(store.save),
        close: () => {
            clearInterval(timer);
            store.close();
        },
    };
}

/** Aborts the attempts of prompts with an isolated part on which no answer has been written. */
function abortUnanswered(running: ReadonlySet<TrackedAttempt>, { service, suspect }: QuarantineEntry): void {
    [...running]
        .filter(prompt => prompt.trial === undefined && prompt.service === service && prompt.parts.includes(suspect))
        .forEach(prompt => prompt.abort());
}

/** Ends the isolation of a part whose trial has been answered. */
function releaseAnswered(state: QuarantineState, { service, trial }: TrackedAttempt): void {
    const entry = trial === undefined ? undefined : state.findIsolated(service, [trial.suspect]);
    if (entry !== undefined) {
        state.change(entry, { isIsolated: false, changedAtMs: performance.now(), trials: 0 });
    }
}

function logEntry(log: Logger, entry: QuarantineEntry, suspicion?: Suspicion): void {
    const { service, suspect, revision, trials } = entry;
    log.info(
        {
            service,
            part: suspect,
            revision,
            trials,
            ...(suspicion === undefined ? {} : {
                crashes: suspicion.crashes.map(describeCrash),
                begun: suspicion.begunCrashes.length,
                answers: suspicion.answerCount,
            }),
        },
        entry.isIsolated ? "quarantine: part isolated" : "quarantine: part released",
    );
}
