import {
    CHARGE_WINDOW_MS,
    type DemandScope,
    EXCHANGE_INTERVAL_MS,
    SHARE_FLOOR,
    type SharePeaks,
    type ShareState,
} from "../model/shares.js";

/** Computes the fractions of all scopes and records the own one. `scopes` holds the own scope as well. */
export function updateShares(
    state: ShareState,
    own: string,
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
        computed: [...recent, { fraction: fractions.get(own) ?? 0, atMs: now }],
    };
}

function getPeak({ current, previous }: SharePeaks, scope: string): number | undefined {
    const peaks = [current.get(scope), previous.get(scope)].filter(peak => peak !== undefined);
    return peaks.length === 0 ? undefined : Math.max(...peaks);
}

function updatePeaks(peaks: SharePeaks, fractions: ReadonlyMap<string, number>, now: number): SharePeaks {
    if (now - peaks.startedAtMs > CHARGE_WINDOW_MS) {
        return { startedAtMs: now, current: fractions, previous: peaks.current };
    }
    const current = new Map(
        [...fractions].map(([scope, fraction]) => [scope, Math.max(fraction, peaks.current.get(scope) ?? 0)] as const),
    );
    return { ...peaks, current };
}

/**
 * Splits the entitlement. What unreachable scopes held is set aside; the rest goes to reachable scopes, a floor evenly
 * over hosts and the remainder by demand. Scopes that are no longer listed are charged no more.
 */
export function computeFractions(
    scopes: readonly DemandScope[],
    charged: ReadonlyMap<string, number>,
): Map<string, number> {
    const reachable = scopes.filter(scope => scope.isReachable);
    const allHosts = sumOf(scopes, scope => scope.hosts);
    const kept = new Map(
        scopes.filter(scope => !scope.isReachable).map(scope =>
            [scope.scope, charged.get(scope.scope) ?? scope.hosts / allHosts] as const
        ),
    );
    const available = Math.max(0, 1 - sumOf([...kept.values()], fraction => fraction));
    const hosts = sumOf(reachable, scope => scope.hosts);
    const demand = sumOf(reachable, scope => scope.demand);
    const computed = reachable.map(scope => {
        const even = scope.hosts / hosts;
        const byDemand = demand > 0 ? scope.demand / demand : even;
        return [scope.scope, available * (SHARE_FLOOR * even + (1 - SHARE_FLOOR) * byDemand)] as const;
    });
    return new Map([...kept, ...computed]);
}

function sumOf<T>(items: readonly T[], read: (item: T) => number): number {
    return items.reduce((sum, item) => sum + read(item), 0);
}
