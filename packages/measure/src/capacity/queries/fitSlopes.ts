/**
 * Fits the coefficients of `value = sum of coefficient × feature` by least squares. A small ridge penalty keeps the
 * system of equations solvable if there are few rows.
 */
export function fitSlopes(
    rows: readonly { readonly features: readonly number[]; readonly value: number; }[],
): number[] {
    const size = rows[0]?.features.length ?? 0;
    const matrix = Array.from({ length: size }, (_row, i) => [
        ...Array.from(
            { length: size },
            (_column, j) =>
                sumBy(rows, row => getEntry(row.features, i) * getEntry(row.features, j)) + (i === j ? RIDGE : 0),
        ),
        sumBy(rows, row => getEntry(row.features, i) * row.value),
    ]);
    return computeSolution(matrix);
}

/** Ridge penalty, which is added to the diagonal of the normal equations. */
const RIDGE = 1e-6;

const getEntry = (values: readonly number[], index: number): number => values[index] ?? 0;

function sumBy<T>(items: readonly T[], getValue: (item: T) => number): number {
    return items.reduce((sum, item) => sum + getValue(item), 0);
}

/** Solves a system of linear equations, given as an augmented matrix, by Gauss-Jordan elimination. */
function computeSolution(matrix: readonly (readonly number[])[]): number[] {
    let rows = matrix.map(row => [...row]);
    for (let column = 0; column < rows.length; column += 1) {
        const pivot = rows.slice(column).reduce((best, row) =>
            Math.abs(getEntry(row, column)) > Math.abs(getEntry(best, column)) ? row : best
        );
        const otherRows = rows.filter(row => row !== pivot);
        const scaled = pivot.map(value => value / getEntry(pivot, column));
        const reduced = otherRows.map(row =>
            row.map((value, index) => value - getEntry(row, column) * getEntry(scaled, index))
        );
        rows = [...reduced.slice(0, column), scaled, ...reduced.slice(column)];
    }
    return rows.map(row => getEntry(row, rows.length));
}

/** Estimates the value at the given features, at least 0. */
export const estimateValue = (coefficients: readonly number[], features: readonly number[]): number =>
    Math.max(
        0,
        sumBy(coefficients.map((coefficient, index) => coefficient * getEntry(features, index)), value => value),
    );
