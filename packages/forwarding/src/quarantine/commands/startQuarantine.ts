/**
 * Finds parts of prompts and whole requests that crash endpoints, refuses requests with them on all hosts, and tries them
 * again later.
 */
import type { ForwardingSettings } from "@currantrill/settings";
import type Logger from "bunyan";
import type { ForwardingMetrics } from "../../model/forwardingMetrics.js";
import type { EndpointProtocol } from "../../ports/endpointProtocol.js";
import type { TableSource } from "../../ports/tableSource.js";
import { describeCrash } from "../model/crashReport.js";
import { getTrialAtMs, type QuarantineEntry } from "../model/quarantineEntry.js";
import { createQuarantineState, type QuarantineState } from "../model/quarantineState.js";
import { getSuspectKind, type SuspectId, type SuspectKind } from "../model/suspect.js";
import type { TrackedRequest } from "../model/trackedRequest.js";
import { describeSuspect } from "../queries/describeSuspect.js";
import type { Suspicion } from "../queries/findCulprits.js";
import { type AttemptRegistry, createAttemptRegistry } from "./createAttemptRegistry.js";
import { type CrashReporter, createCrashReporter } from "./createCrashReporter.js";
import { createQuarantineStore } from "./createQuarantineStore.js";
import { createTrialAcquisition, TRIAL_RETRY_MS } from "./createTrialAcquisition.js";

/** Interval at which suspects are isolated that time has proved to be at fault, and old entries are dropped. */
const SWEEP_MS = 250;

/** Whether a request may be sent. */
export type Admission =
    | { readonly kind: "admitted"; }
    /** The request is the trial of an isolated suspect. It must not be sent a second time. */
    | { readonly kind: "trial"; readonly trial: QuarantineEntry; }
    | { readonly kind: "isolated"; readonly suspect: SuspectId; readonly retryAfterMs: number; };

export interface Quarantine {
    /**
     * Decides whether a request may be sent. If it was on several endpoints that crashed, waits until no attempt of the
     * same request runs on this host.
     */
    readonly admit: (request: TrackedRequest) => Promise<Admission>;
    /** Ends the turn of a request that has its final answer; copies of it may wait. */
    readonly endTurn: (request: TrackedRequest) => void;
    /** Returns whether a request has an isolated suspect, apart from the one whose trial it is. */
    readonly isIsolated: (request: TrackedRequest, trial?: QuarantineEntry) => boolean;
    /** Returns whether a request may be sent no more, or not a second time. */
    readonly isSuspect: (request: TrackedRequest) => boolean;
    /** Counts the crashes under a whole request since the last answer to it. */
    readonly countCrashes: (request: TrackedRequest) => number;
    readonly track: AttemptRegistry["track"];
    /** Checks whether the endpoint of a broken attempt has crashed, and reports that to all hosts. */
    readonly reportBreak: CrashReporter;
    /** Returns a trial that was not sent to an endpoint. */
    readonly releaseTrial: (trial: QuarantineEntry) => void;
    readonly share: QuarantineState["share"];
    readonly merge: QuarantineState["merge"];
    /** Writes the entries to the store again, because it may have lost them. */
    readonly saveAll: () => void;
    readonly close: () => void;
}

export interface QuarantineOptions {
    readonly getSettings: () => ForwardingSettings["quarantine"];
    readonly log: Logger;
    readonly metrics: Pick<ForwardingMetrics, "isolatedParts" | "isolatedRequests" | "crashReports">;
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
    const gauges = { part: metrics.isolatedParts, request: metrics.isolatedRequests } as const;
    const updateGauge = (kind: SuspectKind): void => gauges[kind].set(countIsolated(state.list(), kind));
    const handleEntry = (entry: QuarantineEntry, suspicion?: Suspicion): void => {
        logEntry(log, entry, suspicion);
        updateGauge(getSuspectKind(entry.suspect));
        if (options.shouldFollowStore()) {
            store.save(entry);
        }
        if (entry.isIsolated) {
            attempts.abort(entry);
        }
    };
    const state = createQuarantineState({
        getSettings: options.getSettings,
        onEntry: handleEntry,
        onForgotten: entry => {
            log.info({ service: entry.service, ...describeSuspect(entry.suspect) }, "quarantine: entry forgotten");
            updateGauge(getSuspectKind(entry.suspect));
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
    const trials = createTrialAcquisition({ log, state, store });
    const attempts = createAttemptRegistry(state, () => options.getSettings().crashes);
    const timer = setInterval(() => {
        state.sweep(performance.now());
        attempts.wake();
    }, SWEEP_MS);
    const listIsolated = (request: TrackedRequest): readonly QuarantineEntry[] =>
        state.listSuspects(request).flatMap(suspect => state.findIsolated(request.service, [suspect]) ?? []);
    const getTrialTime = (entry: QuarantineEntry): number =>
        getTrialAtMs(entry, { retryAfterMs: options.getSettings().retry_after_ms });
    return {
        admit: async request => {
            await attempts.waitForTurn(request);
            const isolated = [...listIsolated(request)].sort((a, b) => getTrialTime(b) - getTrialTime(a));
            const [entry] = isolated;
            if (entry === undefined) {
                return { kind: "admitted" };
            }
            // A trial tells nothing if it may fail because of another suspect.
            const isTrialDue = isolated.length === 1 && performance.now() >= getTrialTime(entry);
            const trial = isTrialDue ? await trials.acquire(entry) : undefined;
            const endAtMs = Math.min(getTrialTime(entry), entry.changedAtMs + options.getSettings().forget_after_ms);
            return trial === undefined ? describeIsolation(entry, endAtMs) : { kind: "trial", trial };
        },
        endTurn: attempts.endTurn,
        isIsolated: (request, trial) => listIsolated(request).some(({ suspect }) => suspect !== trial?.suspect),
        isSuspect: request => state.isSuspect(request.service, state.listSuspects(request), performance.now()),
        countCrashes: state.countCrashes,
        track: attempts.track,
        reportBreak: createCrashReporter({ ...options, state }),
        releaseTrial: trials.release,
        share: state.share,
        merge: (shared, nowMs) => {
            state.merge(shared, nowMs);
            attempts.wake();
        },
        saveAll: () => (options.shouldFollowStore() ? state.list() : []).forEach(store.save),
        close: () => {
            clearInterval(timer);
            store.close();
        },
    };
}

const describeIsolation = ({ suspect }: QuarantineEntry, endAtMs: number): Admission => ({
    kind: "isolated",
    suspect,
    retryAfterMs: Math.max(TRIAL_RETRY_MS, endAtMs - performance.now()),
});

const countIsolated = (entries: readonly QuarantineEntry[], kind: SuspectKind): number =>
    entries.filter(({ suspect, isIsolated }) => isIsolated && getSuspectKind(suspect) === kind).length;

/** Log texts by kind and by whether the suspect is isolated. */
const entryTexts: Readonly<Record<SuspectKind, readonly [isolated: string, released: string]>> = {
    part: ["quarantine: part isolated", "quarantine: part released"],
    request: ["quarantine: request isolated", "quarantine: request released"],
};

function logEntry(log: Logger, entry: QuarantineEntry, suspicion?: Suspicion): void {
    const { service, suspect, revision, trials, isIsolated } = entry;
    const [isolated, released] = entryTexts[getSuspectKind(suspect)];
    log.info(
        {
            service,
            ...describeSuspect(suspect),
            revision,
            trials,
            ...(suspicion === undefined ? {} : {
                crashes: suspicion.crashes.map(describeCrash),
                begun: suspicion.begunCrashes.length,
                answers: suspicion.answerCount,
            }),
        },
        isIsolated ? isolated : released,
    );
}
