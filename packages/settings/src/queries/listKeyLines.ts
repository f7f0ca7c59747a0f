/**
 * Finds the lines of keys in a TOML text. The parser gives values without positions, so this reads the text once more
 * and follows tables, arrays of tables, keys, and the elements of arrays that span lines.
 */

const TABLE = /^\[([^[\]]+)\]/;
const TABLE_ARRAY = /^\[\[([^[\]]+)\]\]/;
const KEY = /^((?:[\w-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[\w-]+|"[^"]*"|'[^']*'))*)\s*=\s*(.*)$/;
const STRING_OR_COMMENT = /"(?:\\.|[^"\\])*"|'[^']*'|#.*$/g;

interface Scan {
    readonly lines: Map<string, number>;
    readonly elements: Map<string, number>;
    prefix: string;
    /** Key whose value is an array that is still open, with the bracket depth. */
    open: { readonly path: string; depth: number; index: number; } | undefined;
}

/** Maps each key path, such as `endpoints.2.url`, to its line, counted from 1. */
export function listKeyLines(text: string): ReadonlyMap<string, number> {
    const scan: Scan = { lines: new Map(), elements: new Map(), prefix: "", open: undefined };
    text.split("\n").forEach((line, index) => {
        const bare = line.replace(STRING_OR_COMMENT, match => match.startsWith("#") ? "" : "\"\"");
        readLine(scan, line.trim(), bare.trim(), index + 1);
    });
    return scan.lines;
}

/** Finds the line of a path, or of the nearest path around it. */
export function findLine(lines: ReadonlyMap<string, number>, path: readonly string[]): number | undefined {
    for (let length = path.length; length > 0; length -= 1) {
        const line = lines.get(path.slice(0, length).join("."));
        if (line !== undefined) {
            return line;
        }
    }
    return undefined;
}

function readLine(scan: Scan, line: string, bare: string, number: number): void {
    if (scan.open !== undefined) {
        readBrackets(scan, bare, number);
        return;
    }
    const tableArray = TABLE_ARRAY.exec(bare)?.[1]?.trim();
    if (tableArray !== undefined) {
        const index = scan.elements.get(tableArray) ?? 0;
        scan.elements.set(tableArray, index + 1);
        scan.prefix = `${tableArray}.${index}.`;
        scan.lines.set(`${tableArray}.${index}`, number);
        if (index === 0) {
            scan.lines.set(tableArray, number);
        }
        return;
    }
    const table = TABLE.exec(bare)?.[1]?.trim();
    if (table !== undefined) {
        scan.prefix = `${table}.`;
        scan.lines.set(table, number);
        return;
    }
    const key = KEY.exec(line)?.[1];
    if (key === undefined) {
        return;
    }
    const path = scan.prefix + key.replace(/["'\s]/g, "");
    scan.lines.set(path, number);
    scan.open = { path, depth: 0, index: 0 };
    readBrackets(scan, bare.slice(bare.indexOf("=") + 1), number);
}

/** Follows brackets to the end of the value. Elements of the outermost array get the line on which they begin. */
function readBrackets(scan: Scan, text: string, number: number): void {
    const { open } = scan;
    if (open === undefined) {
        return;
    }
    for (const character of text) {
        if (character === "[" || character === "{") {
            if (open.depth === 1 && character === "{") {
                scan.lines.set(`${open.path}.${open.index}`, number);
                open.index += 1;
            }
            open.depth += 1;
        }
        else if (character === "]" || character === "}") {
            open.depth -= 1;
        }
    }
    if (open.depth <= 0) {
        scan.open = undefined;
    }
}
