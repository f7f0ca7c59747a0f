/** Sums a metric over all its labels, in the text format that `/metrics` serves. */
export function sumMetric(text: string, name: string): number {
    return text.split("\n")
        .filter(line => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
        .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(" ") + 1)), 0);
}
