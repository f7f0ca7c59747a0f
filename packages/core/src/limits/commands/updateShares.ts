import {
    type DemandScope,
    EVENLY_SPLIT_FRACTION,
    EXCHANGE_INTERVAL_MS,
    PEAK_WINDOW_MS,
    type SharePeaks,
    type ShareState,
} from "../model/shares.js";

/**
 * Computes the fractions of all scopes and records that of the host's scope `self`. `scopes` contains `self` as well.
 */
export function updateShares(
    state: ShareState,
    self: string,
    scopes: readonly DemandScope[],
    now: number,
): ShareState {
    const charged = new Map(
        scopes.filter(scope => !scope.isReachable).flatMap(({ scope }) => {
            const fraction = state.charged.get(scope) ?? getPeak(state.peaks, scope);
            return fraction === undefined ? [] : [[scope, fraction] as const];
        }),
    );
    const fractions = computeFractions(scopes, charged);
    const recent = state.computed.filter(entry => now - entry.atMs <= EXCHANGE_INTERVAL_MS);
    return {
        charged,
        peaks: updatePeaks(state.peaks, fractions, now),
        computed: [...recent, { fraction: fractions.get(self) ?? 0, atMs: now }],
    };
}

function getPeak({ current, previous }: SharePeaks, scope: string): number | undefined {
    const peaks = [current.get(scope), previous.get(scope)].filter(peak => peak !== undefined);
    return peaks.length === 0 ? undefined : Math.max(...peaks);
}

function updatePeaks(peaks: SharePeaks, fractions: ReadonlyMap<string, number>, now: number): SharePeaks {
    if (now - peaks.startedAtMs > PEAK_WINDOW_MS) {
        return { startedAtMs: now, current: fractions, previous: peaks.current };
    }
    const current = new Map(
        [...fractions].map(([scope, fraction]) => [scope, Math.max(fraction, peaks.current.get(scope) ?? 0)] as const),
    );
    return { ...peaks, current };
}

/**
 * Divides the entitlement between scopes. Unreachable scopes keep their charged fractions, or their equal share if none
 * is charged. Of the rest, reachable scopes get `EVENLY_SPLIT_FRACTION` by their number of hosts and the remainder by
 * demand. A scope that is not in `scopes` gets nothing, also if it is charged.
 */
export function computeFractions(
    scopes: readonly DemandScope[],
    charged: ReadonlyMap<string, number>,
): Map<string, number> {
    const reachable = scopes.filter(scope => scope.isReachable);
    const allHosts = sumOf(scopes, scope => scope.hosts);
    const unreachable = new Map(
        scopes.filter(scope => !scope.isReachable).map(scope =>
            [scope.scope, charged.get(scope.scope) ?? scope.hosts / allHosts] as const
        ),
    );
    const available = Math.max(0, 1 - sumOf([...unreachable.values()], fraction => fraction));
    const hosts = sumOf(reachable, scope => scope.hosts);
    const demand = sumOf(reachable, scope => scope.demand);
    const computed = reachable.map(scope => {
        const byHosts = scope.hosts / hosts;
        const byDemand = demand > 0 ? scope.demand / demand : byHosts;
        return [
            scope.scope,
            available * (EVENLY_SPLIT_FRACTION * byHosts + (1 - EVENLY_SPLIT_FRACTION) * byDemand),
        ] as const;
    });
    return new Map([...unreachable, ...computed]);
}

function sumOf<T>(items: readonly T[], getValue: (item: T) => number): number {
    return items.reduce((sum, item) => sum + getValue(item), 0);
}
