/** Responses that an endpoint breaks off at each of their bytes. */
import { afterEach, describe, expect, it } from "vitest";
import {
    buildHead,
    faultRoutes,
    framings,
    getId,
    routeNames,
    sendRequest,
    startFaultySystem,
    wholeStream,
} from "../../faultFixture.js";
import type { TestHost } from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

async function startSystem(...options: Parameters<typeof startFaultySystem>): Promise<TestHost> {
    const { host, close } = await startFaultySystem(...options);
    closers.push(close);
    return host;
}

const cases = routeNames.flatMap(name =>
    (Object.keys(framings) as (keyof typeof framings)[]).map(framing => ({ name, framing }))
);
/** Interval of the bytes, in number, at which the response is also broken off on a reused connection. */
const REUSED_INTERVAL = 3;

describe("an endpoint that stops in the middle of its response and closes the connection", () => {
    // Guards against a response, or a stream, that is framed as complete although the endpoint broke it off. A body without
    // a length shows no fault if it ends after a whole event, or in a call after its first byte.
    it.each(cases)("is never complete: $name $framing", async ({ name, framing }) => {
        const isStream = faultRoutes[name].kind === "stream";
        const build = framings[framing];
        const whole = build({ headers: { "t-id": "q1" } } as never, wholeStream);
        const headBytes = whole.indexOf("\r\n\r\n") + 4;
        let cut = 0;
        let isReset = false;
        let received = 0;
        const host = await startSystem({ ...faultRoutes[name], attempts: 1 }, (next, socket) => {
            if (getId(next) === "earlier") {
                socket.write(framings.chunked(next, wholeStream));
                return;
            }
            received += 1;
            socket.write(whole.slice(0, cut));
            setTimeout(() => isReset ? socket.resetAndDestroy() : socket.end(), 2);
        });
        const endings = [false, true].flatMap(resets => [false, true].map(isReused => ({ resets, isReused })));
        for (; cut < whole.length; cut += 1) {
            for (const { resets, isReused } of endings.filter(each => !each.isReused || cut % REUSED_INTERVAL === 0)) {
                isReset = resets;
                if (isReused) {
                    await sendRequest(host, "earlier");
                }
                const receivedBefore = received;
                const { status, body, isComplete } = await sendRequest(host, "q1");
                const sentBody = whole.slice(headBytes, Math.max(cut, headBytes));
                const isUndetectable = framing === "undelimited" && !isReset && sentBody !== ""
                    && (!isStream || sentBody.endsWith("\n\n"));
                const context = `${cut} bytes, ${isReset ? "reset" : "end"}: ${status} ${JSON.stringify(body)}`;
                expect([200, 502], context).toContain(status);
                expect(status === 200 && isComplete, context).toBe(isUndetectable);
                expect(received - receivedBefore, context).toBe(1);
            }
        }
    }, 30_000);
});

// Guards against a response without a body that counts as broken off, since nothing is missing from it.
it.each(["204 No Content", "404 X", "500 X"])("an empty response without a length is complete: %s", async status => {
    const host = await startSystem(
        { ...faultRoutes.onceCall, attempts: 1 },
        (received, socket) => socket.end(`${buildHead(received, "connection: close\r\n", status)}\r\n`),
    );
    const reply = await sendRequest(host, "q1");
    expect(reply).toEqual({ status: Number(status.slice(0, 3)), body: "", isComplete: true });
});
