/** Workloads of deployments: kinds of requests with different lengths, whose mix changes over time. */
import type { EngineProfile } from "@currantrill/forwarding";

/** Requests of similar length with the same targets. */
export interface RequestKind {
    readonly name: string;
    /** Mean arrival rate, in requests per second, before the factors of `RateChange`. */
    readonly perSecond: number;
    /** Mean of the log-normal distribution of prompt lengths; `spread` is its sigma. */
    readonly meanTokens: number;
    readonly spread: number;
    readonly maxTokens: number;
    /** Mean number of events of an answer; `eventSpread` is the sigma of its log-normal distribution. */
    readonly meanEvents: number;
    readonly eventSpread: number;
    /** Target for the time to the first event. */
    readonly targetMs: number;
    /** Target for the longest pause between two events. */
    readonly targetPauseMs: number;
    /** Time within which the answer must be complete to have any value. */
    readonly deadlineMs: number;
    /** Value of a request of mean length that meets both targets. */
    readonly value: number;
    /** Value of a request of mean length that misses a target but meets the deadline. */
    readonly lateValue: number;
}

/** Factors on the arrival rates of the kinds, from `fromMs` until the next change. */
export interface RateChange {
    readonly fromMs: number;
    /** One factor for each kind, in the order of `kinds`. */
    readonly rateFactors: readonly number[];
}

/** A workload, and the deployment that serves it. */
export interface Workload {
    readonly name: string;
    readonly engine: EngineProfile;
    readonly engines: number;
    readonly hosts: number;
    readonly domains: number;
    readonly kinds: readonly RequestKind[];
    readonly rateChanges: readonly RateChange[];
    readonly durationMs: number;
    /** Time until the peers of a host have received the announcement of an assignment. */
    readonly announcementDelayMs: number;
}

const mixChanges: readonly RateChange[] = [
    { fromMs: 0, rateFactors: [0.35, 1.3, 2.8] },
    { fromMs: 10_000, rateFactors: [2.4, 0.5, 0.05] },
    { fromMs: 20_000, rateFactors: [0.35, 1.3, 2.8] },
];

const short: RequestKind = {
    name: "short",
    perSecond: 26.8,
    meanTokens: 4_960,
    spread: 0.9,
    maxTokens: 23_800,
    meanEvents: 31.6,
    eventSpread: 0.7,
    targetMs: 300,
    targetPauseMs: 250,
    deadlineMs: 10_000,
    value: 1.3,
    lateValue: 0.33,
};
const medium: RequestKind = {
    ...short,
    name: "medium",
    perSecond: 1.46,
    meanTokens: 45_000,
    spread: 0.5,
    maxTokens: 110_000,
    meanEvents: 19,
    eventSpread: 0.6,
    targetMs: 1_500,
    targetPauseMs: 600,
    value: 3.9,
    lateValue: 0.98,
};
const long: RequestKind = {
    ...short,
    name: "long",
    perSecond: 1.23,
    meanTokens: 133_000,
    spread: 0.55,
    maxTokens: 600_000,
    meanEvents: 15.8,
    eventSpread: 0.5,
    targetMs: 2_500,
    targetPauseMs: 1_000,
    deadlineMs: 15_000,
    value: 15,
    lateValue: 3.7,
};

const engine: EngineProfile = {
    slots: 11,
    memoryTokens: 232_000,
    stepMs: 1.02,
    stepPerDecodeMs: 0.003_287,
    stepPerContextMs: 0.004_31,
    prefillTokensPerMs: 206,
    msPerMillionPairs: 0.138,
    chunkTokens: 2_048,
    stepsPerIteration: 43,
    hopMs: 0.075,
    meanAnswerTokens: 1_303,
};

const lilybrook: Workload = {
    name: "lilybrook",
    engine,
    engines: 18,
    hosts: 6,
    domains: 3,
    kinds: [short, medium, long],
    rateChanges: mixChanges,
    durationMs: 30_000,
    announcementDelayMs: 4,
};

/**
 * Coordinators of a large fleet place prompts in their failure domain, so one of three domains is simulated.
 */
const lilybrookGrown: Workload = {
    ...lilybrook,
    name: "lilybrook-grown",
    engines: 20,
    hosts: 26,
    domains: 1,
    announcementDelayMs: 3,
    engine: { ...engine, slots: 8, memoryTokens: 197_200, stepsPerIteration: 48 },
    kinds: [
        { ...short, perSecond: 23.3 },
        { ...medium, perSecond: 1.59, value: 3.3 },
        { ...long, perSecond: 0.98, meanTokens: 190_000, targetMs: 3_000, value: 20 },
    ],
};

export const workloads: readonly Workload[] = [
    lilybrook,
    {
        ...lilybrook,
        name: "hooghly",
        engines: 23,
        hosts: 7,
        kinds: [{ ...short, perSecond: 34.3 }, { ...medium, perSecond: 1.87 }, { ...long, perSecond: 1.57 }],
    },
    lilybrookGrown,
    {
        // A burst in which short prompts need nearly all slots.
        ...lilybrookGrown,
        name: "short-burst",
        kinds: lilybrookGrown.kinds.map(kind => kind.name === "short" ? { ...kind, perSecond: 33 } : kind),
    },
];
