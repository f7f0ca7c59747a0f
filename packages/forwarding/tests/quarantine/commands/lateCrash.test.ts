import { describe, expect, it } from "vitest";
import { type CallerRequest, type FleetOptions, startFaultyFleet, startTraffic } from "./faultyFleet.js";

const INTERVAL_MS = 100;
const DURATION_MS = 2_500;
/** Three crashes prove that a request is at fault; three more may be under way by then. */
const MAX_RUNS = 6;

const repeatable: FleetOptions = {
    endpoints: 6,
    route: { kind: "repeatable", attempts: 2, targetMs: 400 },
    answerMs: 25,
    downMs: 200,
};

interface LateCase {
    readonly name: string;
    readonly options: FleetOptions;
    readonly request: CallerRequest;
}

const cases: readonly LateCase[] = [
    {
        name: "its callers disconnect before the endpoints end",
        options: repeatable,
        request: { method: "GET", path: "/r/crashing", giveUpAfterMs: 5 },
    },
    {
        name: "the endpoints end after the first events of its stream",
        options: { ...repeatable, route: { kind: "stream", canResume: true, attempts: 3 }, answerMs: 4 },
        request: { method: "POST", path: "/r/crashing", body: "the same body" },
    },
];

describe("a request that crashes endpoints", () => {
    // Guards against a crash that no host connects with the request, so that it ends one endpoint after the other.
    it.concurrent.for(cases.map(each => [each.name, each] as const))(
        "is found although %s",
        async ([, { options, request }], { onTestFinished }) => {
            const fleet = await startFaultyFleet(options);
            onTestFinished(fleet.close);
            fleet.setCrashing(({ target }) => target === request.path);
            const traffic = startTraffic(fleet, INTERVAL_MS, () => request);
            await new Promise(resolve => setTimeout(resolve, DURATION_MS));
            await traffic.stop();
            expect(fleet.received.length).toBeGreaterThan(0);
            expect(fleet.received.length).toBeLessThanOrEqual(MAX_RUNS);
        },
    );
});
