/** A directory with the endpoints `e1` to `e4` of one service. */
import { type FailureDomainId, toFailureDomainId, toServiceId } from "@currantrill/protocol";
import bunyan from "bunyan";
import { createEndpointDirectory, type EndpointDirectory } from "../src/endpoints/model/endpointDirectory.js";
import { testDomain } from "./engineFixture.js";

export const endpointIds = ["e1", "e2", "e3", "e4"];
export const directoryService = toServiceId("s");

/** Creates the directory. Each letter of `domains` is the failure domain of one endpoint, in order. */
export function createDirectory(
    domains = "aaaa",
    isEvacuated: (domain: FailureDomainId) => boolean = () => false,
): EndpointDirectory {
    const directory = createEndpointDirectory({
        hostFailureDomain: testDomain,
        rows: {
            decodeEndpoint: (id, value) => ({
                ok: true,
                value: {
                    id,
                    service: directoryService,
                    address: "127.0.0.1:1",
                    failureDomain: toFailureDomainId(value.toString()),
                    isDraining: false,
                    slots: 1,
                    processStartedAtMs: 0,
                },
            }),
        },
        isEvacuated,
        log: bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 }),
        onConnect: () => undefined,
        onNotice: () => undefined,
    });
    const rows = endpointIds.map((key, index) => ({ key, version: index, value: Buffer.from(domains[index] ?? "a") }));
    directory.applyRows(rows, false);
    return directory;
}
