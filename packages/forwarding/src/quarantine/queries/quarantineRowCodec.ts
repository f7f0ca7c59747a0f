import { toServiceId } from "@currantrill/protocol";
import type { QuarantineEntry } from "../model/quarantineEntry.js";
import type { SuspectId } from "../model/suspect.js";

/** Encodes an entry as a row of the store, without its time, which the hosts' clocks would tell differently. */
export const encodeQuarantineRow = ({ service, suspect, revision, isIsolated, trials }: QuarantineEntry): Buffer =>
    Buffer.from(JSON.stringify({ service, part: suspect, revision, isIsolated, trials }));

/** Decodes a row that was read at `nowMs`. Returns `undefined` if it is not valid. */
export function decodeQuarantineRow(value: Buffer, nowMs: number): QuarantineEntry | undefined {
    try {
        const row = JSON.parse(value.toString("utf8")) as Readonly<Record<string, unknown>>;
        const { service, part: suspect, revision, isIsolated, trials } = row;
        return typeof service === "string" && typeof suspect === "string" && typeof revision === "number"
                && typeof isIsolated === "boolean" && typeof trials === "number"
            ? {
                service: toServiceId(service),
                suspect: suspect as SuspectId,
                revision,
                isIsolated,
                trials,
                changedAtMs: nowMs,
            }
            : undefined;
    }
    catch {
        // The caller logs the row.
        return undefined;
    }
}
