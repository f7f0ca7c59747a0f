/** Endpoints that are cold after their failure domain has returned, and the settings of the services. */
import type { Clocks, FailureDomainId } from "@currantrill/protocol";
import type Logger from "bunyan";
import type { ServingConfiguration } from "../../configuration/model/servingConfiguration.js";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";

/** Most invalid settings in a log line. */
const MAX_REPORTED = 10;

export interface WarmupOptions {
    readonly log: Logger;
    readonly listEndpoints: () => readonly Pick<Endpoint, "entry" | "warmth">[];
}

export interface Warmup {
    /** Counts the endpoints of a failure domain as cold, after its evacuation has been removed. */
    readonly markReturned: (failureDomain: FailureDomainId, now: Clocks) => void;
    /** Reports cold settings of a configuration that are not valid. */
    readonly reportInvalid: (configuration: ServingConfiguration) => void;
    /** Returns the number of cold endpoints. */
    readonly countCold: (now: Clocks) => number;
}

export const createWarmup = ({ log, listEndpoints }: WarmupOptions): Warmup => ({
    markReturned: (failureDomain, { monotonicMs }) => {
        const returned = listEndpoints().filter(({ entry }) => entry.failureDomain === failureDomain);
        returned.forEach(({ warmth }) => warmth.markReturned(monotonicMs));
        const cold = returned.filter(({ warmth }) => warmth.getRate(monotonicMs) !== undefined).length;
        log.info({ failureDomain, endpoints: returned.length, cold }, "warmup: failure domain returned");
    },
    reportInvalid: ({ version, services }) => {
        const invalid = services.flatMap(({ name, invalidCold = [] }) => invalidCold.map(found => `${name}: ${found}`));
        if (invalid.length > 0) {
            log.warn({ version, invalid: invalid.slice(0, MAX_REPORTED) }, "warmup: invalid cold settings ignored");
        }
    },
    countCold: ({ monotonicMs }) =>
        listEndpoints().filter(({ warmth }) => warmth.getRate(monotonicMs) !== undefined).length,
});
