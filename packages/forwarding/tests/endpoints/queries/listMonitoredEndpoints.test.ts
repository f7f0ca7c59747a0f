import { describe, expect, it } from "vitest";
import type { ConfigurationIndex } from "../../../src/configuration/model/configurationIndex.js";
import { listMonitoredEndpoints } from "../../../src/endpoints/queries/listMonitoredEndpoints.js";
import type { ForwardingContext } from "../../../src/model/forwardingContext.js";
import { createDirectory, directoryService } from "../../directoryFixture.js";
import { engine } from "../../engineFixture.js";

function listFor(host: string, hosts: readonly string[], domains = "aaaa", hasEngine = true): string[] {
    const directory = createDirectory(domains);
    const service = { name: directoryService, ...(hasEngine ? { engine } : {}) };
    const index = { services: new Map([[directoryService, service]]) } as unknown as ConfigurationIndex;
    const context = { directory, getConfiguration: () => index } satisfies Partial<
        ForwardingContext
    > as unknown as ForwardingContext;
    const monitored = listMonitoredEndpoints(context, hosts, host).map(endpoint => endpoint.entry.id);
    directory.close();
    return monitored;
}

describe("listMonitoredEndpoints", () => {
    // Guards against endpoints that no host probes, and against every host probing every endpoint.
    it("assigns each endpoint of the local domain to one host", () => {
        const hosts = ["h1", "h2", "h3"];
        expect(hosts.flatMap(host => listFor(host, hosts)).sort()).toEqual(["e1", "e2", "e3", "e4"]);
        expect(listFor("h1", ["h1"], "abab")).toEqual(["e1", "e3"]);
    });
    it("omits services without engines", () => {
        expect(listFor("h1", ["h1"], "aaaa", false)).toEqual([]);
    });
});
