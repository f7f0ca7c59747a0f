/** Findings about evacuations that are in force, but may not be intended. They refuse nothing. */
import type { Configuration } from "../../model/configuration.js";
import type { Finding } from "../../model/finding.js";
import { listObjects } from "../../queries/listObjects.js";
import { listDomainObjects, listEvacuatedDomains, readState } from "./listEvacuatedDomains.js";

/** Checks the evacuations of a configuration. `source` names the ticket or the configuration. */
export function checkEvacuations(configuration: Configuration, source: string): Finding[] {
    const evacuated = listEvacuatedDomains(configuration);
    const domains = new Set(listObjects(configuration, "endpoint").map(endpoint => endpoint.failureDomain));
    const names = [...domains].sort().join(", ");
    const unreadable = listDomainObjects(configuration)
        .filter(([domain, stored]) => evacuated.has(domain) && readState(stored) !== "evacuated")
        .map(([domain, stored]): Finding => ({
            source,
            path: `domain/${domain}.state`,
            found: `${String(readState(stored))}, which counts as evacuated`,
            expected: "evacuated or in_service",
        }));
    const unknown = [...evacuated]
        .filter(domain => !domains.has(domain))
        .map((domain): Finding => ({
            source,
            path: `domain/${domain}`,
            found: "a failure domain that no endpoint is in",
            expected: names === "" ? "a failure domain of endpoints; there are none" : `one of ${names}`,
        }));
    const isNoneLeft = domains.size > 0 && [...domains].every(domain => evacuated.has(domain));
    const noneLeft: Finding = {
        source,
        path: "domain",
        found: `all failure domains evacuated (${names}), so that every request is refused`,
        expected: "a failure domain in service; currantrill domain return NAME returns one",
    };
    return [...unreadable, ...unknown, ...(isNoneLeft ? [noneLeft] : [])];
}

/** Lists the findings that were not known before, whatever their source. */
export function listNewFindings(known: readonly Finding[], current: readonly Finding[]): Finding[] {
    const toText = ({ path, found }: Finding): string => `${path} ${found}`;
    const knownTexts = new Set(known.map(toText));
    return current.filter(finding => !knownTexts.has(toText(finding)));
}
