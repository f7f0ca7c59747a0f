import { toWorkspaceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { waitUntil } from "../../hostFixture.js";
import {
    type CallerReply,
    type CallerRequest,
    type FaultyFleet,
    type FleetOptions,
    listIsolations,
    type RequestFilter,
    startFaultyFleet,
    startTraffic,
} from "./faultyFleet.js";

/** Time between two of the requests that run while endpoints fail; several are in progress at any moment. */
const INTERVAL_MS = 10;
/** Time for which sound requests are sent after the faults: longer than hosts take to exchange and judge evidence. */
const AFTERWARDS_MS = 1_300;

const createPopularRead = (): CallerRequest => ({ method: "GET", path: "/r/popular" });
const createPopularPost = (): CallerRequest => ({ method: "POST", path: "/r/popular", body: "the same body" });
const createDifferentRead = (count: number): CallerRequest => ({ method: "GET", path: `/r/page-${count}` });
/** Pairs, so that both hosts get both. */
const createMixedRead = (count: number): CallerRequest =>
    Math.floor(count / 2) % 2 === 0 ? createPopularRead() : createDifferentRead(count);
/** The popular request arrives at one host only, so that the other one only hears of its crashes and answers. */
const createSplitRead = (count: number): CallerRequest =>
    count % 2 === 0 ? createPopularRead() : createDifferentRead(count);

const isPopular: RequestFilter = ({ target }) => target === "/r/popular";

const wait = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

const repeatable: FleetOptions = {
    endpoints: 6,
    route: { kind: "repeatable", attempts: 2, targetMs: 400 },
    answerMs: 25,
    downMs: 200,
};
/** With few endpoints, most of the service is down while they crash in turn. */
const few: FleetOptions = { ...repeatable, endpoints: 4, downMs: 100 };
const slow: FleetOptions = { ...few, answerMs: 200, downMs: 400 };
const once: FleetOptions = { ...repeatable, route: { kind: "once", attempts: 2 } };
const stream: FleetOptions = { ...repeatable, route: { kind: "stream", canResume: true, attempts: 3 } };

/** Waits until an endpoint runs the popular request, and returns the index of the next one from `offset` on. */
async function awaitRunning(fleet: FaultyFleet, offset: number): Promise<number> {
    const indexes = fleet.listIndexes();
    const start = offset % indexes.length;
    const findRunning = (): number | undefined =>
        [...indexes.slice(start), ...indexes.slice(0, start)]
            .find(index => fleet.getProcess(index).countRunning(isPopular) > 0);
    await waitUntil(() => findRunning() !== undefined || listIsolations(fleet).length > 0);
    expect(listIsolations(fleet)).toEqual([]);
    return findRunning()!;
}

const CRASHES = 12;
const CRASH_INTERVAL_MS = 100;
/** Every second endpoint of a small service is down at a time. */
const DENSE_CRASH_INTERVAL_MS = 50;

/** Ends one process after the other, each while the popular request runs on it. */
async function endInTurn(fleet: FaultyFleet, intervalMs = CRASH_INTERVAL_MS): Promise<void> {
    for (let crash = 0; crash < CRASHES; crash += 1) {
        await fleet.endProcess(await awaitRunning(fleet, crash), isPopular);
        await wait(intervalMs);
    }
}

/** Time for which all endpoints answer between two ends of all of them. */
const UP_MS = 200;

/** Ends all processes at the same moment, while the popular request runs on each, three times. */
async function endTogether(fleet: FaultyFleet): Promise<void> {
    for (let round = 0; round < 3; round += 1) {
        await waitUntil(() => fleet.listIndexes().every(index => fleet.getProcess(index).countRunning(isPopular) > 0));
        fleet.endAll();
        await fleet.awaitRecovery();
        await wait(UP_MS);
    }
}

/** Time from the end of the first process of the service to the end of the last one: less than 300 ms. */
const DOMINO_INTERVAL_MS = 80;

/** Ends all processes of the service one shortly after the other, while the popular request runs on each. */
async function endWithinMoments(fleet: FaultyFleet): Promise<void> {
    for (const index of fleet.listIndexes()) {
        await fleet.endProcess(index, isPopular);
        await wait(DOMINO_INTERVAL_MS);
    }
    await fleet.awaitRecovery();
}

const RESETS = 12;

async function resetInTurn(fleet: FaultyFleet): Promise<void> {
    for (let reset = 0; reset < RESETS; reset += 1) {
        fleet.getProcess(await awaitRunning(fleet, reset)).resetConnections();
        await wait(CRASH_INTERVAL_MS);
    }
}

const SILENCES_MS = [500, 1_000, 2_000, 500, 1_500, 700];

/** Makes endpoints fall silent for different times, and then all of them at once. */
async function stopAllAnswers(fleet: FaultyFleet): Promise<void> {
    SILENCES_MS.forEach((durationMs, index) => fleet.getProcess(index).stopAnswers(durationMs));
    await wait(Math.max(...SILENCES_MS));
    fleet.listIndexes().forEach(index => fleet.getProcess(index).stopAnswers(700));
    await wait(800);
}

/** Time for which an endpoint writes nothing after a reset: longer than a probe waits for an answer. */
const RESET_SILENCE_MS = 500;

/** Resets the connections of endpoints that then write nothing for a time, so that a probe is not answered. */
async function resetAndSilence(fleet: FaultyFleet): Promise<void> {
    for (let reset = 0; reset < RESETS; reset += 1) {
        const process = fleet.getProcess(await awaitRunning(fleet, reset));
        process.stopAnswers(RESET_SILENCE_MS);
        process.resetConnections();
        await wait(CRASH_INTERVAL_MS);
    }
    await wait(RESET_SILENCE_MS);
}

/** Lets each process end by any request for a time. */
async function failAsWhole(fleet: FaultyFleet): Promise<void> {
    fleet.setCrashing(() => true);
    await wait(1_500);
    fleet.setCrashing(() => false);
    await fleet.awaitRecovery();
}

interface SoundCase {
    readonly name: string;
    readonly options: FleetOptions;
    readonly create: (count: number) => CallerRequest;
    readonly injectFaults: (fleet: FaultyFleet) => Promise<void>;
    /** Lower bound on the processes that end, so that the case cannot pass without faults. */
    readonly minEnded: number;
}

const crashCases: readonly SoundCase[] = [
    {
        name: "identical reads while endpoints crash one after the other",
        options: repeatable,
        create: createPopularRead,
        injectFaults: endInTurn,
        minEnded: CRASHES,
    },
    {
        name: "identical reads while the few endpoints crash in quick succession",
        options: few,
        create: createPopularRead,
        injectFaults: fleet => endInTurn(fleet, DENSE_CRASH_INTERVAL_MS),
        minEnded: CRASHES,
    },
    {
        name: "identical repeatable posts while endpoints crash one after the other",
        options: repeatable,
        create: createPopularPost,
        injectFaults: endInTurn,
        minEnded: CRASHES,
    },
    {
        name: "identical posts that run once while endpoints crash one after the other",
        options: once,
        create: createPopularPost,
        injectFaults: endInTurn,
        minEnded: CRASHES,
    },
    {
        name: "identical streams without shared parts while endpoints crash one after the other",
        options: stream,
        create: createPopularPost,
        injectFaults: endInTurn,
        minEnded: CRASHES,
    },
    {
        name: "identical long streams while endpoints crash one after the other",
        options: { ...stream, answerMs: 400 },
        create: createPopularPost,
        injectFaults: endInTurn,
        minEnded: CRASHES,
    },
    {
        name: "identical reads answered with 404 while endpoints crash one after the other",
        options: { ...repeatable, answerStatus: 404 },
        create: createPopularRead,
        injectFaults: endInTurn,
        minEnded: CRASHES,
    },
    {
        name: "identical reads answered with 500 while endpoints crash one after the other",
        options: { ...repeatable, answerStatus: 500 },
        create: createPopularRead,
        injectFaults: endInTurn,
        minEnded: CRASHES,
    },
    {
        name: "identical prompts answered with 404 while endpoints crash one after the other",
        options: { ...stream, answerStatus: 404 },
        create: createPopularPost,
        injectFaults: endInTurn,
        minEnded: CRASHES,
    },
    {
        name: "identical reads while all endpoints crash at the same moment, three times",
        options: { ...few, answerMs: 60 },
        create: createPopularRead,
        injectFaults: endTogether,
        minEnded: 12,
    },
    {
        name: "identical and different reads while all endpoints crash within 300 ms",
        options: { ...few, downMs: 400 },
        create: createMixedRead,
        injectFaults: endWithinMoments,
        minEnded: 4,
    },
    {
        name: "identical reads at one host, different ones at the other, while all endpoints crash within 300 ms",
        options: { ...few, downMs: 400 },
        create: createSplitRead,
        injectFaults: endWithinMoments,
        minEnded: 4,
    },
    {
        name: "identical and different slow reads while all endpoints crash within 300 ms",
        options: slow,
        create: createMixedRead,
        injectFaults: endWithinMoments,
        minEnded: 4,
    },
    {
        name: "different reads while each endpoint crashes by any request",
        options: repeatable,
        create: createDifferentRead,
        injectFaults: failAsWhole,
        minEnded: 4,
    },
];

const faultCases: readonly SoundCase[] = [
    {
        name: "identical reads while endpoints reset connections and live on",
        options: repeatable,
        create: createPopularRead,
        injectFaults: resetInTurn,
        minEnded: 0,
    },
    {
        name: "identical streams while endpoints reset connections and live on",
        options: stream,
        create: createPopularPost,
        injectFaults: resetInTurn,
        minEnded: 0,
    },
    {
        name: "identical reads while endpoints fall silent and go on",
        options: repeatable,
        create: createPopularRead,
        injectFaults: stopAllAnswers,
        minEnded: 0,
    },
    {
        name: "identical reads while endpoints reset connections, fall silent and go on",
        options: repeatable,
        create: createPopularRead,
        injectFaults: resetAndSilence,
        minEnded: 0,
    },
];

const describeReply = ({ status, code }: CallerReply): string => code === undefined ? `${status}` : `${status} ${code}`;

/** Counts replies by status and error code. */
function countReplies(replies: readonly CallerReply[]): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    replies.map(describeReply).forEach(key => {
        counts[key] = (counts[key] ?? 0) + 1;
    });
    return counts;
}

/** Sends requests that were sent before at both hosts, and expects that all are answered and nothing is isolated. */
async function expectServed(
    fleet: FaultyFleet,
    { create, options: { answerStatus = 200 } }: Pick<SoundCase, "create" | "options">,
): Promise<void> {
    await fleet.awaitRecovery();
    const traffic = startTraffic(fleet, 2 * INTERVAL_MS, create);
    await wait(AFTERWARDS_MS);
    const replies = await traffic.stop();
    expect(countReplies(replies)).toEqual({ [answerStatus]: replies.length });
    expect(listIsolations(fleet)).toEqual([]);
}

describe.concurrent.each([
    // Guards against a popular request that is refused because it is on every endpoint that crashes by itself.
    { what: "crashes of endpoints", cases: crashCases },
    // Guards against a popular request that is refused because of endpoints that did not crash.
    { what: "endpoints that do not crash", cases: faultCases },
])("$what", ({ cases }) => {
    it.for(cases.map(each => [each.name, each] as const))(
        "isolate nothing: %s",
        async ([, soundCase], { annotate, onTestFinished }) => {
            const { options, create, injectFaults, minEnded } = soundCase;
            const fleet = await startFaultyFleet(options);
            onTestFinished(fleet.close);
            const traffic = startTraffic(fleet, INTERVAL_MS, create);
            await injectFaults(fleet);
            const replies = await traffic.stop();
            await annotate(`${JSON.stringify(countReplies(replies))}, ${fleet.countEnded()} endpoints ended`);
            expect(fleet.countEnded()).toBeGreaterThanOrEqual(minEnded);
            expect(listIsolations(fleet)).toEqual([]);
            expect(countReplies(replies)).not.toHaveProperty(["503 request_isolated"]);
            await expectServed(fleet, soundCase);
        },
    );
});

const CRASHING_INTERVAL_MS = 100;
const CRASHING_DURATION_MS = 2_500;
/** Three crashes prove that a request is at fault; three more may be under way by then. */
const MAX_CRASHING_RUNS = 6;

const keys = { sound: "key-sound", crashing: "key-crashing" };
const workspaces = [
    { name: toWorkspaceId("sound"), keys: [keys.sound] },
    { name: toWorkspaceId("crashing"), keys: [keys.crashing] },
];

interface CrashingCase {
    readonly name: string;
    readonly options: FleetOptions;
    readonly sound: CallerRequest;
    readonly crashing: CallerRequest;
    readonly isCrashing: RequestFilter;
}

const crashingCases: readonly CrashingCase[] = [
    {
        name: "an identical sound request on the same endpoints",
        options: repeatable,
        sound: createPopularRead(),
        crashing: { method: "GET", path: "/r/crashing" },
        isCrashing: ({ target }) => target === "/r/crashing",
    },
    {
        name: "the same request of another workspace",
        options: { ...repeatable, workspaces },
        sound: { ...createPopularRead(), key: keys.sound },
        crashing: { ...createPopularRead(), key: keys.crashing },
        isCrashing: ({ workspace }) => workspace === "crashing",
    },
];

describe.concurrent("a request that crashes endpoints", () => {
    // These cases need hosts that refuse a request that crashes endpoints. Guards against an identical sound request
    // that is blamed for the crashes, and against a crashing one that goes on to end endpoints.
    it.for(crashingCases.map(each => [each.name, each] as const))(
        "is refused, and not %s",
        async ([, crashingCase], { annotate, onTestFinished }) => {
            const { options, sound, crashing, isCrashing } = crashingCase;
            const fleet = await startFaultyFleet(options);
            onTestFinished(fleet.close);
            fleet.setCrashing(isCrashing);
            const soundTraffic = startTraffic(fleet, INTERVAL_MS, () => sound);
            const crashingTraffic = startTraffic(fleet, CRASHING_INTERVAL_MS, () => crashing);
            await wait(CRASHING_DURATION_MS);
            const crashingReplies = await crashingTraffic.stop();
            const soundReplies = await soundTraffic.stop();
            const runs = fleet.received.filter(isCrashing).length;
            await annotate(
                `sound ${JSON.stringify(countReplies(soundReplies))}, crashing ${
                    JSON.stringify(countReplies(crashingReplies))
                }, ${runs} runs, ${fleet.countEnded()} endpoints ended`,
            );
            expect(runs).toBeLessThanOrEqual(MAX_CRASHING_RUNS);
            expect(countReplies(crashingReplies.slice(-5))).toEqual({ "503 request_isolated": 5 });
            expect(crashingReplies.slice(-5).every(({ retryAfter }) => Number(retryAfter) > 0)).toBe(true);
            expect(countReplies(soundReplies)).not.toHaveProperty(["503 request_isolated"]);
            const servable = soundReplies.filter(({ couldBeAnswered }) => couldBeAnswered);
            expect(countReplies(servable)).toEqual({ 200: servable.length });
            await fleet.awaitRecovery();
            const afterwards = startTraffic(fleet, 2 * INTERVAL_MS, () => sound);
            await wait(AFTERWARDS_MS);
            const laterReplies = await afterwards.stop();
            expect(countReplies(laterReplies)).toEqual({ 200: laterReplies.length });
        },
    );
});
