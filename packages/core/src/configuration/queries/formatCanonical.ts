/** JSON text that does not depend on the order of object keys, so that equal contents have equal texts. */
export function formatCanonical(value: unknown): string {
    return JSON.stringify(value, (_key, entry: unknown) => isRecord(entry) ? sortKeys(entry) : entry);
}

const isRecord = (value: unknown): value is Record<string, unknown> =>
    typeof value === "object" && value !== null && !Array.isArray(value);

const sortKeys = (record: Record<string, unknown>): Record<string, unknown> =>
    Object.fromEntries(Object.entries(record).sort(([a], [b]) => a < b ? -1 : 1));
