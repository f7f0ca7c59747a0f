import { describe, expect, it } from "vitest";
import type { Route } from "../../../src/configuration/model/servingConfiguration.js";
import { beginStream, endStream, formatEvent, writeAnswer, writeChunk } from "../../hostFixture.js";
import { sendRequest, startFleet } from "../fleetFixture.js";

const LEAVING = "t-leaving: 1\r\n";
/** Time in which the other host hears of it. */
const NEWS_MS = 300;
const REQUESTS = 20;

const kinds: readonly { name: string; route: Partial<Route>; }[] = [
    { name: "calls", route: { kind: "repeatable" } },
    { name: "streams", route: { kind: "stream", canResume: true, attempts: 3 } },
];

describe("an endpoint that states in its responses that it leaves", () => {
    // Guards against requests that reach an endpoint after it has said so, before or without its entry in the store.
    it.each(kinds)("gets no further $name from any host", async ({ route }) => {
        const { hosts, arrivals } = await startFleet(
            route,
            [LEAVING, ""].map(header => (received, socket) => {
                if (route.kind !== "stream") {
                    writeAnswer(socket, received, 200, "ok", header);
                    return;
                }
                beginStream(socket, received, header);
                writeChunk(socket, formatEvent(1));
                writeChunk(socket, formatEvent(2));
                endStream(socket);
            }),
        );
        const sendUntilHeard = async (): Promise<void> => {
            for (let index = 0; arrivals[0]?.length === 0; index += 1) {
                await sendRequest(hosts[0]!, `first${index}`);
            }
        };
        await sendUntilHeard();
        const heard = arrivals[0]?.length;
        await new Promise(resolve => setTimeout(resolve, NEWS_MS));
        const statuses: number[] = [];
        for (let index = 0; index < REQUESTS; index += 1) {
            statuses.push((await sendRequest(hosts[index % 2]!, `r${index}`)).status);
        }
        expect(arrivals[0]).toHaveLength(heard ?? 0);
        expect(statuses).toEqual(statuses.map(() => 200));
    });
});
