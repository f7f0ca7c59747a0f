import { toServiceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import type { CrashReport } from "../../../src/quarantine/model/crashReport.js";
import { toPartSuspect, toRequestSuspect } from "../../../src/quarantine/model/suspect.js";
import { type Evidence, findCulprits } from "../../../src/quarantine/queries/findCulprits.js";

const service = toServiceId("pool");
const MIN_CRASHES = 3;

interface Crash {
    readonly atMs: number;
    readonly begun?: readonly string[];
    readonly waiting?: readonly string[];
    /** Whole requests, with the begin of their attempts. */
    readonly requests?: Readonly<Record<string, number>>;
}

const createReport = ({ atMs, begun = [], waiting = [], requests = {} }: Crash, index: number): CrashReport => ({
    endpointId: `e${index}`,
    processStartedAtMs: 1,
    service,
    crashedAtMs: atMs,
    begunParts: begun.map(toPartSuspect),
    waitingParts: waiting.map(toPartSuspect),
    requests: Object.entries(requests).map(([digest, sentAtMs]) => ({ suspect: toRequestSuspect(digest), sentAtMs })),
});

/** Crashes at intervals, with the parts that the function lists for each. */
const repeatCrashes = (times: readonly number[], describe: (index: number) => Omit<Crash, "atMs">): readonly Crash[] =>
    times.map((atMs, index) => ({ atMs, ...describe(index) }));

interface Case {
    readonly name: string;
    readonly crashes: readonly Crash[];
    /** Number of answers on prompts with a part, and time of the last one. */
    readonly answers?: Readonly<Record<string, readonly [count: number, lastAtMs: number]>>;
    readonly lastAnswerMs?: number;
    readonly nowMs?: number;
    readonly expected: readonly string[];
}

// Each row guards against a missed culprit, or against the blame of a part that is not at fault.
const cases: readonly Case[] = [
    {
        name: "a part is on each endpoint that crashes, as its response begins",
        crashes: repeatCrashes([0, 400, 800], index => ({ begun: ["bad"], waiting: [`other${index}`, "common"] })),
        expected: ["bad"],
    },
    {
        name: "two crashes are no proof",
        crashes: repeatCrashes([0, 400], () => ({ begun: ["bad"] })),
        expected: [],
    },
    {
        name: "the first part of the prompts, which sound prompts share, has been answered before",
        crashes: repeatCrashes([0, 400, 800], () => ({ begun: ["common", "bad"] })),
        answers: { common: [90, -5_000] },
        expected: ["bad"],
    },
    {
        name: "none of the parts has ever been answered: the one that fewest prompts share",
        crashes: repeatCrashes([0, 400, 800], () => ({ begun: ["common", "bad"] })),
        expected: ["bad"],
    },
    {
        name: "a popular part is on all endpoints that crash by themselves, and answered in between",
        crashes: repeatCrashes([0, 4_000, 8_000, 12_000, 16_000], index => ({ waiting: ["popular", `p${index}`] })),
        answers: { popular: [500, 16_100] },
        lastAnswerMs: 16_100,
        nowMs: 20_000,
        expected: [],
    },
    {
        name: "a rack fails at once under a popular part",
        crashes: repeatCrashes([0, 5, 20, 60, 120], () => ({ begun: ["popular"], waiting: ["popular"] })),
        nowMs: 130,
        expected: [],
    },
    {
        name: "a rack fails, and later another one, and prompts with the part were answered in between",
        crashes: repeatCrashes([0, 5, 10, 9_000, 9_005], () => ({ begun: ["popular"] })),
        answers: { popular: [50, 8_990] },
        nowMs: 9_010,
        expected: [],
    },
    {
        name: "all endpoints of the service fail, one after the other",
        crashes: repeatCrashes([0, 300, 600, 900, 1_200], () => ({ waiting: ["popular"] })),
        lastAnswerMs: 290,
        nowMs: 5_000,
        expected: [],
    },
    {
        name: "endpoints crash before the response begins, and other prompts are answered",
        crashes: repeatCrashes([0, 500, 1_000, 1_500], index => ({ waiting: ["bad", `p${index}`] })),
        lastAnswerMs: 1_400,
        nowMs: 2_600,
        expected: ["bad"],
    },
    {
        name: "the same, before other hosts could announce their answers",
        crashes: repeatCrashes([0, 500, 1_000, 1_500], () => ({ waiting: ["bad"] })),
        lastAnswerMs: 1_400,
        nowMs: 1_900,
        expected: [],
    },
    {
        name: "two parts crash endpoints by turns",
        crashes: repeatCrashes([0, 300, 600, 900, 1_200, 1_500], index => ({ begun: [index % 2 === 0 ? "a" : "b"] })),
        expected: ["a", "b"],
    },
    {
        name: "a prompt that waits is tried on endpoint after endpoint that another part crashes",
        crashes: repeatCrashes([0, 300, 600, 900], () => ({ begun: ["bad"], waiting: ["unlucky"] })),
        lastAnswerMs: 900,
        nowMs: 5_000,
        expected: ["bad"],
    },
    {
        name: "the part was answered until it became deadly",
        crashes: repeatCrashes([1_000, 1_400, 1_800], () => ({ begun: ["bad"] })),
        answers: { bad: [40, 990] },
        expected: ["bad"],
    },
    {
        name: "rare prompts, one in a minute",
        crashes: repeatCrashes([0, 60_000, 120_000], () => ({ begun: ["common", "bad"] })),
        answers: { common: [9_000, 119_990] },
        expected: ["bad"],
    },
];

/** Crashes under requests that were sent 50 ms before. */
const repeatRequests = (
    times: readonly number[],
    list: (index: number) => readonly string[],
): readonly Crash[] =>
    repeatCrashes(times, index => ({
        requests: Object.fromEntries(list(index).map(digest => [digest, (times[index] ?? 0) - 50])),
    }));

// Each row guards against a missed request, or against the blame of one that is not at fault.
const requestCases: readonly Case[] = [
    {
        name: "a request is on each endpoint that crashes, others on one each",
        crashes: repeatRequests([0, 100, 200], index => ["bad", `other${index}`]),
        expected: ["request bad"],
    },
    {
        name: "two crashes are no proof",
        crashes: repeatRequests([0, 100], () => ["bad"]),
        expected: [],
    },
    {
        name: "copies of a request are on all endpoints of a rack that fails",
        crashes: repeatCrashes([0, 30, 60, 300], () => ({ requests: { popular: -100 } })),
        expected: [],
    },
    {
        name: "a request was answered since the first of the crashes",
        crashes: repeatRequests([0, 100, 200], () => ["popular"]),
        answers: { "request popular": [1, 150] },
        expected: [],
    },
    {
        name: "a request is repeated while a service ends under all requests",
        crashes: repeatRequests([0, 100, 200, 300, 400, 500], index => [index % 2 === 0 ? "bad" : `other${index}`]),
        expected: [],
    },
    {
        name: "the same, while other requests are answered",
        crashes: repeatRequests([0, 100, 200, 300, 400, 500], index => [index % 2 === 0 ? "bad" : `other${index}`]),
        lastAnswerMs: 250,
        expected: ["request bad"],
    },
    {
        name: "two requests were on all endpoints: one more crash decides between them",
        crashes: repeatRequests([0, 100, 200], () => ["bad", "unlucky"]),
        expected: [],
    },
    {
        name: "the same, and the other one was answered meanwhile",
        crashes: repeatRequests([0, 100, 200], () => ["bad", "unlucky"]),
        answers: { "request unlucky": [1, 210] },
        expected: ["request bad"],
    },
    {
        name: "nothing has decided between the two: both, until the sound one is answered in its trial",
        crashes: repeatRequests([0, 100, 200, 300], () => ["bad", "unlucky"]),
        expected: ["request bad", "request unlucky"],
    },
    {
        name: "one prompt crashes endpoints, and other prompts share its parts",
        crashes: repeatCrashes([0, 400, 800], index => ({
            begun: ["common", "shared"],
            requests: { bad: index * 400 - 50 },
        })),
        expected: ["request bad"],
    },
    {
        name: "different prompts with one part crash endpoints, one of them twice",
        crashes: repeatCrashes([0, 400, 800], index => ({
            begun: ["bad"],
            requests: { [index < 2 ? "first" : "second"]: index * 400 - 50 },
        })),
        expected: ["bad"],
    },
    {
        name: "copies in progress may still be answered",
        crashes: repeatRequests([0, 100, 200], () => ["popular"]),
        nowMs: 790,
        expected: [],
    },
    {
        name: "two hosts notice the end of a rack some milliseconds apart",
        crashes: repeatCrashes([0, 8, 14], index => ({ requests: { popular: index * 8 - 1 } })),
        expected: [],
    },
    {
        name: "a rare request, one in a minute",
        crashes: repeatRequests([0, 60_000, 120_000], () => ["bad"]),
        lastAnswerMs: 119_000,
        expected: ["request bad"],
    },
];

/** Copies of a request that were in progress have been answered by then. */
const getSettledMs = ({ crashes }: Case): number => Math.max(...crashes.map(crash => crash.atMs)) + 600;

describe("findCulprits", () => {
    it.each([...cases, ...requestCases.map(each => ({ nowMs: getSettledMs(each), ...each }))])(
        "finds what is at fault: $name",
        ({ crashes, answers, lastAnswerMs, nowMs, expected }) => {
            const evidence: Evidence = {
                reports: crashes.map(createReport),
                isRequestExplained: () => false,
                getAnswers: (_service, part) => {
                    const [count, lastAtMs] = answers?.[part] ?? [];
                    return count === undefined || lastAtMs === undefined ? undefined : { count, lastAtMs };
                },
                getLastAnswer: () => lastAnswerMs ?? -Infinity,
                nowMs: nowMs ?? Math.max(...crashes.map(crash => crash.atMs)),
            };
            expect(findCulprits(evidence, MIN_CRASHES).map(culprit => culprit.suspect).sort()).toEqual(expected);
        },
    );
});
