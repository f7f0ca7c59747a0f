/** Formats rows as a text table with aligned columns below a heading line. Absent values are shown as `-`. */
export function formatTable(headings: readonly string[], rows: readonly (readonly unknown[])[]): string {
    const lines = [headings, ...rows].map(row => row.map(formatCell));
    const widths = headings.map((_heading, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)));
    return lines
        .map(line => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
        .join("\n");
}

function formatCell(value: unknown): string {
    if (value === undefined || value === null) {
        return "-";
    }
    return typeof value === "string" ? value : JSON.stringify(value);
}
