/**
 * Lists the warm ones of the candidates after a permit was refused, if there are any, so that a request waits for one
 * round trip only.
 */
export function selectWarm<T extends { readonly isCold: boolean; }>(
    candidates: readonly T[],
    permitAttempt: number,
): readonly T[] {
    const warm = permitAttempt > 1 ? candidates.filter(({ isCold }) => !isCold) : [];
    return warm.length > 0 ? warm : candidates;
}
