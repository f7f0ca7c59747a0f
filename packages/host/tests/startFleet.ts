/** Starts hosts and a platform stand-in in the process of the test. */
import { parseHostSettings } from "@currantrill/settings";
import { findFreePorts, servePlatform } from "@currantrill/standins";
import { type RunningHost, startHost } from "../src/startHost.js";

/** Operator key of all test hosts. */
export const OPERATOR_KEY = "test-operator-key";

export interface TestFleet {
    readonly hosts: RunningHost[];
    readonly platformUrl: string;
    /** Starts another host. Its seeds are all hosts that were started before it. */
    readonly addHost: (name: string, domain: string) => Promise<RunningHost>;
    /** Closes the platform, as in an outage. */
    readonly stopPlatform: () => Promise<void>;
    /** Drains all hosts and closes the platform. */
    readonly stop: () => Promise<void>;
}

/** Starts the given number of hosts in each failure domain, one after the other. */
export async function startFleet(domains: Readonly<Record<string, number>>): Promise<TestFleet> {
    const platform = await servePlatform({ hostListLagMs: 100 });
    const platformUrl = `http://127.0.0.1:${platform.port}`;
    const hosts: RunningHost[] = [];
    const seeds: string[] = [];
    let isPlatformRunning = true;
    const stopPlatform = async (): Promise<void> => {
        if (isPlatformRunning) {
            isPlatformRunning = false;
            await platform.close();
        }
    };
    const addHost = async (name: string, domain: string): Promise<RunningHost> => {
        const [callers, operators, peers] = await findFreePorts(3);
        const text = `
            host_id = "${name}"
            failure_domain = "${domain}"
            operator_key = "${OPERATOR_KEY}"
            seeds = ${JSON.stringify(seeds)}
            log_level = "error"
            listen = { callers = "127.0.0.1:${callers}", operators = "127.0.0.1:${operators}", peers = "127.0.0.1:${peers}" }
            platform = { url = "${platformUrl}", timeout_ms = 300 }`;
        const parsed = parseHostSettings(text, "test.toml");
        if (!parsed.ok) {
            throw new Error(JSON.stringify(parsed.findings));
        }
        const host = await startHost(parsed.value);
        hosts.push(host);
        seeds.push(`127.0.0.1:${peers}`);
        return host;
    };
    for (const [domain, count] of Object.entries(domains)) {
        for (let index = 1; index <= count; index += 1) {
            await addHost(`${domain}-${index}`, domain);
        }
    }
    const stop = async (): Promise<void> => {
        await Promise.all(hosts.map(host => host.drain()));
        await stopPlatform();
    };
    return { hosts, platformUrl, addHost, stopPlatform, stop };
}

/** Polls a condition until it holds. Rejects with its name if it does not hold within 20 s. */
export async function waitUntil(name: string, holds: () => boolean): Promise<void> {
    const deadlineMs = performance.now() + 20_000;
    while (!holds()) {
        if (performance.now() > deadlineMs) {
            throw new Error(`condition not met within 20 s: ${name}`);
        }
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}
