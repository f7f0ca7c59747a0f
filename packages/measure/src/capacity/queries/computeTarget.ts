import { type Figure, figures, type HostSample, type SizeSample, type WindowSample } from "../model/sample.js";
import { target } from "../model/target.js";
import { estimateValue, fitSlopes } from "./fitSlopes.js";

/** Part of the digests of another domain that crosses to this one, from the thresholds for crossing. */
const REMOTE_PART = 0.1;

export interface Sizes {
    readonly hostsPerDomain: number;
    readonly domains: number;
    readonly endpointsPerDomain: number;
}

export const targetSizes: Sizes = {
    hostsPerDomain: target.hosts / target.domains,
    domains: target.domains,
    endpointsPerDomain: target.endpoints / target.domains,
};

type Features = (sizes: Sizes) => readonly number[];

const countDigests = ({ domains, endpointsPerDomain }: Sizes): number =>
    endpointsPerDomain * (1 + REMOTE_PART * (domains - 1));

/** Traffic follows the hosts of the domain and the digests that arrive; processor time also the polls of each host. */
const features: Record<Figure, Features> = {
    bytes: sizes => [1, sizes.hostsPerDomain, countDigests(sizes)],
    messages: sizes => [1, sizes.hostsPerDomain, countDigests(sizes)],
    processor: sizes => [1, sizes.hostsPerDomain, countDigests(sizes), sizes.endpointsPerDomain / sizes.hostsPerDomain],
    megabytes: sizes => [1, sizes.hostsPerDomain * sizes.domains, sizes.endpointsPerDomain * sizes.domains],
};

/** Calculates each figure at the target from the slopes of the measured sizes. */
export function computeTarget(samples: readonly SizeSample[], role: "mean" | "largest"): HostSample {
    const windows = samples.flatMap(sample => [sample.before, sample.after]);
    const values = figures.map(figure => [figure, estimateFigure(windows, role, figure)] as const);
    return Object.fromEntries(values) as unknown as HostSample;
}

function estimateFigure(windows: readonly WindowSample[], role: "mean" | "largest", figure: Figure): number {
    const rows = windows.map(window => ({ features: features[figure](window), value: window[role][figure] }));
    return estimateValue(fitSlopes(rows), features[figure](targetSizes));
}

/** Time until a ticket is in force: it grows with the hops, and so with the square root of the domain. */
export function computeTicketTime(samples: readonly SizeSample[]): number {
    const rows = samples.map(sample => ({
        features: [1, Math.sqrt(sample.before.hostsPerDomain)],
        value: sample.ticketMs,
    }));
    return estimateValue(fitSlopes(rows), [1, Math.sqrt(targetSizes.hostsPerDomain)]);
}
