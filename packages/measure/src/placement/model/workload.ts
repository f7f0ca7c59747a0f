/** Requests of a deployment: kinds of unlike length, whose mix swings. */
import type { EngineProfile } from "@currantrill/forwarding";

export interface RequestKind {
    readonly name: string;
    readonly perSecond: number;
    /** Mean and spread of a log-normal length. */
    readonly meanTokens: number;
    readonly spread: number;
    readonly maxTokens: number;
    readonly meanEvents: number;
    readonly eventSpread: number;
    readonly targetMs: number;
    readonly targetPauseMs: number;
    readonly deadlineMs: number;
    readonly worth: number;
    readonly lateWorth: number;
}

/** Factors on the kinds' rates from a time on. */
export interface Wave {
    readonly fromMs: number;
    readonly factors: readonly number[];
}

export interface Workload {
    readonly name: string;
    readonly engine: EngineProfile;
    readonly engines: number;
    readonly hosts: number;
    readonly domains: number;
    readonly kinds: readonly RequestKind[];
    readonly waves: readonly Wave[];
    readonly durationMs: number;
    /** Time until a peer knows a booking. */
    readonly newsMs: number;
}

const waves: readonly Wave[] = [
    { fromMs: 0, factors: [0.35, 1.3, 2.8] },
    { fromMs: 10_000, factors: [2.4, 0.5, 0.05] },
    { fromMs: 20_000, factors: [0.35, 1.3, 2.8] },
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
    worth: 1.3,
    lateWorth: 0.33,
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
    worth: 3.9,
    lateWorth: 0.98,
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
    worth: 15,
    lateWorth: 3.7,
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
    waves,
    durationMs: 30_000,
    newsMs: 4,
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
    {
        // Hosts of a large fleet place on their own domain, so that one domain of three stands for the whole.
        ...lilybrook,
        name: "lilybrook-grown",
        engines: 20,
        hosts: 26,
        domains: 1,
        newsMs: 3,
        engine: { ...engine, slots: 8, memoryTokens: 197_200, stepsPerIteration: 48 },
        kinds: [
            { ...short, perSecond: 23.3 },
            { ...medium, perSecond: 1.59, worth: 3.3 },
            { ...long, perSecond: 0.98, meanTokens: 190_000, targetMs: 3_000, worth: 20 },
        ],
    },
];
