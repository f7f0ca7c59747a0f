/**
 * Finds the line numbers of keys in a TOML text. The TOML parser returns values without positions, so this module scans
 * the text a second time and tracks tables, arrays of tables, keys, and the elements of multi-line arrays.
 */

const TABLE = /^\[([^[\]]+)\]/;
const TABLE_ARRAY = /^\[\[([^[\]]+)\]\]/;
const KEY = /^((?:[\w-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[\w-]+|"[^"]*"|'[^']*'))*)\s*=\s*(.*)$/;
const STRING_OR_COMMENT = /"(?:\\.|[^"\\])*"|'[^']*'|#.*$/g;

interface ScanState {
    readonly lines: Map<string, number>;
    /** Number of elements found so far in each array of tables. */
    readonly elementCounts: Map<string, number>;
    /** Path of the current table with a trailing dot. */
    prefix: string;
    /** Key whose value is being scanned, with the bracket depth and the index of the next array element. */
    openValue: { readonly path: string; depth: number; index: number; } | undefined;
}

/** Maps each key path, such as `endpoints.2.url`, to its line number, starting at 1. */
export function listKeyLines(text: string): ReadonlyMap<string, number> {
    const scan: ScanState = { lines: new Map(), elementCounts: new Map(), prefix: "", openValue: undefined };
    text.split("\n").forEach((line, index) => {
        // Brackets, equals signs and hashes within strings and comments must not count as syntax.
        const maskedLine = line.replace(STRING_OR_COMMENT, match => match.startsWith("#") ? "" : "\"\"");
        parseLine(scan, line.trim(), maskedLine.trim(), index + 1);
    });
    return scan.lines;
}

/** Finds the line number of a path, or of its nearest enclosing path that has one. */
export function findLine(lines: ReadonlyMap<string, number>, path: readonly string[]): number | undefined {
    for (let length = path.length; length > 0; length -= 1) {
        const line = lines.get(path.slice(0, length).join("."));
        if (line !== undefined) {
            return line;
        }
    }
    return undefined;
}

function parseLine(scan: ScanState, line: string, maskedLine: string, lineNumber: number): void {
    if (scan.openValue !== undefined) {
        trackBrackets(scan, maskedLine, lineNumber);
        return;
    }
    const tableArray = TABLE_ARRAY.exec(maskedLine)?.[1]?.trim();
    if (tableArray !== undefined) {
        const index = scan.elementCounts.get(tableArray) ?? 0;
        scan.elementCounts.set(tableArray, index + 1);
        scan.prefix = `${tableArray}.${index}.`;
        scan.lines.set(`${tableArray}.${index}`, lineNumber);
        if (index === 0) {
            scan.lines.set(tableArray, lineNumber);
        }
        return;
    }
    const table = TABLE.exec(maskedLine)?.[1]?.trim();
    if (table !== undefined) {
        scan.prefix = `${table}.`;
        scan.lines.set(table, lineNumber);
        return;
    }
    const key = KEY.exec(line)?.[1];
    if (key === undefined) {
        return;
    }
    const path = scan.prefix + key.replace(/["'\s]/g, "");
    scan.lines.set(path, lineNumber);
    scan.openValue = { path, depth: 0, index: 0 };
    trackBrackets(scan, maskedLine.slice(maskedLine.indexOf("=") + 1), lineNumber);
}

/** Tracks bracket depth to the end of the value. Records the line on which each table in the outermost array begins. */
function trackBrackets(scan: ScanState, text: string, lineNumber: number): void {
    const { openValue } = scan;
    if (openValue === undefined) {
        return;
    }
    for (const character of text) {
        if (character === "[" || character === "{") {
            if (openValue.depth === 1 && character === "{") {
                scan.lines.set(`${openValue.path}.${openValue.index}`, lineNumber);
                openValue.index += 1;
            }
            openValue.depth += 1;
        }
        else if (character === "]" || character === "}") {
            openValue.depth -= 1;
        }
    }
    if (openValue.depth <= 0) {
        scan.openValue = undefined;
    }
}
