/** One thing that is wrong with an input, with its place. All findings of an input are reported together. */
export interface Finding {
    /** File, or `request` for something sent over the network. */
    readonly source: string;
    /** Key path, such as `endpoints[2].url`. */
    readonly path: string;
    readonly line?: number;
    readonly found: string;
    readonly expected: string;
}

export function formatFinding(finding: Finding): string {
    const place = finding.line === undefined ? finding.source : `${finding.source}:${finding.line}`;
    return `${place}: ${finding.path}: found ${finding.found}, expected ${finding.expected}`;
}
