import { type HostMetric, hostMetrics, type HostSample, type SizeSample, type WindowSample } from "../model/sample.js";
import { target } from "../model/target.js";
import { estimateValue, fitSlopes } from "./fitSlopes.js";

/**
 * Fraction of the load digests of another failure domain that are sent to this one. It follows from the thresholds for
 * sending digests across failure domains.
 */
const REMOTE_DIGEST_FRACTION = 0.1;

/** Size of a deployment, as far as the cost of its control plane depends on it. */
export interface FleetSize {
    readonly hostsPerDomain: number;
    readonly domains: number;
    readonly endpointsPerDomain: number;
}

/** Target size as input of the extrapolation. */
export const targetSize: FleetSize = {
    hostsPerDomain: target.hosts / target.domains,
    domains: target.domains,
    endpointsPerDomain: target.endpoints / target.domains,
};

/** Computes the features of a linear model from the size of the deployment. */
type FeatureFunction = (size: FleetSize) => readonly number[];

/** Number of endpoints whose load digests a host receives; a remote endpoint counts by the fraction that is sent. */
const countDigests = ({ domains, endpointsPerDomain }: FleetSize): number =>
    endpointsPerDomain * (1 + REMOTE_DIGEST_FRACTION * (domains - 1));

/**
 * Features of each metric. Traffic depends on the hosts of the failure domain and on the received load digests,
 * processor time also on the number of endpoints that each host polls, and memory on the size of the deployment.
 */
const metricFeatures: Record<HostMetric, FeatureFunction> = {
    bytes: size => [1, size.hostsPerDomain, countDigests(size)],
    messages: size => [1, size.hostsPerDomain, countDigests(size)],
    processor: size => [1, size.hostsPerDomain, countDigests(size), size.endpointsPerDomain / size.hostsPerDomain],
    megabytes: size => [1, size.hostsPerDomain * size.domains, size.endpointsPerDomain * size.domains],
};

/** Extrapolates each metric from the measured sizes to the target size. */
export function computeTarget(samples: readonly SizeSample[], role: "mean" | "largest"): HostSample {
    const windows = samples.flatMap(sample => [sample.before, sample.after]);
    const values = hostMetrics.map(metric => [metric, estimateMetric(windows, role, metric)] as const);
    return Object.fromEntries(values) as unknown as HostSample;
}

function estimateMetric(windows: readonly WindowSample[], role: "mean" | "largest", metric: HostMetric): number {
    const rows = windows.map(window => ({ features: metricFeatures[metric](window), value: window[role][metric] }));
    return estimateValue(fitSlopes(rows), metricFeatures[metric](targetSize));
}

/**
 * Extrapolates the time until a ticket is in force, in milliseconds. It grows with the number of hops between hosts,
 * and so with the square root of the number of hosts of a failure domain.
 */
export function computeTargetTicketMs(samples: readonly SizeSample[]): number {
    const rows = samples.map(sample => ({
        features: [1, Math.sqrt(sample.before.hostsPerDomain)],
        value: sample.ticketMs,
    }));
    return estimateValue(fitSlopes(rows), [1, Math.sqrt(targetSize.hostsPerDomain)]);
}
