import { emptyConfiguration } from "@currantrill/core";
import { type HostStatus, toRevision, toTicketNumber } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { listDomainStatuses } from "../../src/operators/queries/listDomainStatuses.js";

const TICKET = toTicketNumber(4);
const buildHost = (revision: number | undefined): HostStatus => ({
    host: "h",
    failureDomain: "a",
    peerAddress: "",
    state: "live",
    listed: true,
    revision,
    heardMsAgo: 0,
});

describe("listDomainStatuses guards against a host that is shown to obey a state that it does not have", () => {
    it.each([
        { name: "newer revision", hostRevision: 9, setBy: 6, inForce: true },
        { name: "revision of the ticket", hostRevision: 6, setBy: 6, inForce: true },
        { name: "older revision", hostRevision: 5, setBy: 6, inForce: false },
        { name: "no report from the host", hostRevision: undefined, setBy: 6, inForce: false },
        { name: "platform down, same revision", hostRevision: 7, setBy: undefined, inForce: true },
        { name: "platform down, older revision", hostRevision: 6, setBy: undefined, inForce: undefined },
        { name: "platform down, newer revision", hostRevision: 8, setBy: undefined, inForce: undefined },
    ])("$name", ({ hostRevision, setBy, inForce }) => {
        const body = { kind: "domain", name: "a", state: "evacuated" } as never;
        const configuration = {
            ...emptyConfiguration,
            revision: toRevision(7),
            objects: { "domain/a": { ticket: TICKET, body } },
        };
        const revisions = setBy === undefined ? undefined : new Map([[TICKET, toRevision(setBy)]]);
        const [status] = listDomainStatuses(configuration, [buildHost(hostRevision)], revisions);
        expect(status?.hosts.map(host => host.inForce)).toEqual([inForce]);
    });
});
