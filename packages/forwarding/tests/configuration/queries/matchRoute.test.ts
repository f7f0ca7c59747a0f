import { toServiceId, toWorkspaceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { buildConfigurationIndex } from "../../../src/configuration/model/configurationIndex.js";
import type { Route, ServingConfiguration } from "../../../src/configuration/model/servingConfiguration.js";
import { checkAuthorization } from "../../../src/configuration/queries/checkAuthorization.js";
import { chooseService, matchRoute } from "../../../src/configuration/queries/matchRoute.js";

const createRoute = (name: string, changes: Partial<Route> = {}): Route => ({
    name,
    host: "desk.example",
    prefix: "/a/",
    kind: "repeatable",
    canResume: false,
    timeoutMs: 1_000,
    targetMs: 100,
    targetPauseMs: 100,
    priority: 1,
    attempts: 2,
    allowsAnonymous: false,
    shares: [{ service: toServiceId("s"), weight: 1 }],
    ...changes,
});

const configuration: ServingConfiguration = {
    version: 1,
    routes: [
        createRoute("short"),
        createRoute("long", { prefix: "/a/b/" }),
        createRoute("other", { host: "x.example" }),
    ],
    services: [],
    limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces: [{ name: toWorkspaceId("w"), keys: ["k1", "k2"], priority: 0 }],
};
const index = buildConfigurationIndex(configuration);

describe("matchRoute", () => {
    it.each([
        { host: "desk.example", target: "/a/c", expected: "short" },
        { host: "DESK.example:8080", target: "/a/b/c?x=/z/", expected: "long" },
        { host: "desk.example", target: "/a/b", expected: "short" },
        { host: "desk.example", target: "/c/?/a/", expected: undefined },
        { host: "none.example", target: "/a/", expected: undefined },
        { host: "", target: "/a/", expected: undefined },
    ])("finds $expected for $host$target", ({ host, target, expected }) => {
        expect(matchRoute(index, host, target)?.name).toBe(expected);
    });
});

describe("chooseService", () => {
    const route = createRoute("r", {
        shares: [{ service: toServiceId("none"), weight: 0 }, { service: toServiceId("most"), weight: 9 }, {
            service: toServiceId("few"),
            weight: 1,
        }],
    });
    it.each([[0, "most"], [0.89, "most"], [0.91, "few"], [1, "most"]])(
        "chooses by weight at %d",
        (random, expected) => {
            expect(chooseService(route, random)).toBe(expected);
        },
    );
});

describe("checkAuthorization", () => {
    const anonymous = createRoute("open", { allowsAnonymous: true });
    it.each([
        {
            name: "a known key",
            route: createRoute("r"),
            header: "Bearer k2",
            expected: { allowed: true, workspace: "w", priority: 0 },
        },
        { name: "an unknown key", route: createRoute("r"), header: "Bearer k3", expected: { allowed: false } },
        { name: "no key", route: createRoute("r"), header: undefined, expected: { allowed: false } },
        { name: "another scheme", route: createRoute("r"), header: "Basic k1", expected: { allowed: false } },
        {
            name: "no key on a route for anonymous requests",
            route: anonymous,
            header: undefined,
            expected: { allowed: true, priority: 1 },
        },
        {
            name: "a known key on a route for anonymous requests",
            route: anonymous,
            header: "Bearer k1",
            expected: { allowed: true, workspace: "w", priority: 0 },
        },
    ])("decides on $name", ({ route, header, expected }) => {
        expect(checkAuthorization(index, route, header)).toEqual(expected);
    });
});
