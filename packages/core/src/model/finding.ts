/** One error in an input, with its location. All findings of an input are reported together. */
export interface Finding {
    /** Name of the file, or `request` for input received over the network. */
    readonly source: string;
    /** Key path, such as `endpoints[2].url`. */
    readonly path: string;
    readonly line?: number;
    readonly found: string;
    readonly expected: string;
}

export function formatFinding(finding: Finding): string {
    const location = finding.line === undefined ? finding.source : `${finding.source}:${finding.line}`;
    return `${location}: ${finding.path}: found ${finding.found}, expected ${finding.expected}`;
}
