/** Fits `value = sum of coefficient × feature` by least squares with a small ridge, so that few points suffice. */
export function fitSlopes(
    rows: readonly { readonly features: readonly number[]; readonly value: number; }[],
): number[] {
    const size = rows[0]?.features.length ?? 0;
    const matrix = Array.from({ length: size }, (_row, i) => [
        ...Array.from(
            { length: size },
            (_column, j) => sumOf(rows, row => at(row.features, i) * at(row.features, j)) + (i === j ? RIDGE : 0),
        ),
        sumOf(rows, row => at(row.features, i) * row.value),
    ]);
    return resolveLinear(matrix);
}

const RIDGE = 1e-6;

const at = (values: readonly number[], index: number): number => values[index] ?? 0;

function sumOf<T>(items: readonly T[], read: (item: T) => number): number {
    return items.reduce((sum, item) => sum + read(item), 0);
}

/** Gauss-Jordan elimination of an augmented matrix. */
function resolveLinear(matrix: readonly (readonly number[])[]): number[] {
    let rows = matrix.map(row => [...row]);
    for (let column = 0; column < rows.length; column += 1) {
        const pivot = rows.slice(column).reduce((best, row) =>
            Math.abs(at(row, column)) > Math.abs(at(best, column)) ? row : best
        );
        const rest = rows.filter(row => row !== pivot);
        const scaled = pivot.map(value => value / at(pivot, column));
        const reduced = rest.map(row => row.map((value, index) => value - at(row, column) * at(scaled, index)));
        rows = [...reduced.slice(0, column), scaled, ...reduced.slice(column)];
    }
    return rows.map(row => at(row, rows.length));
}

/** Value at a point, at least 0. */
export const estimateValue = (coefficients: readonly number[], features: readonly number[]): number =>
    Math.max(0, sumOf(coefficients.map((coefficient, index) => coefficient * at(features, index)), value => value));
