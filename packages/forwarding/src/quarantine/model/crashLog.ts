import { type CrashReport, describeCrash, listAllSuspects, mergeReports } from "./crashReport.js";

/** Limit on crashes that are remembered; each has up to 64 parts and 16 requests. */
const MAX_REPORTS = 128;
/** Time for which a crash is evidence. Within it, a part that is in one request a minute is found. */
const REPORT_VALID_MS = 300_000;

/** Crashes of the last minutes, from the reports of all hosts. */
export interface CrashLog {
    /** Adds a report, or merges it. Returns whether it says something new. */
    readonly add: (report: CrashReport) => boolean;
    /** Drops what is too old. */
    readonly expire: (nowMs: number) => void;
    /** Lists the crashes in the order in which they became known. */
    readonly list: () => readonly CrashReport[];
}

/** Creates an empty log. */
export function createCrashLog(): CrashLog {
    const reports = new Map<string, CrashReport>();
    return {
        add: report => {
            const key = describeCrash(report);
            const known = reports.get(key);
            const merged = known === undefined ? report : mergeReports(known, report);
            reports.set(key, merged);
            const oldest = reports.size > MAX_REPORTS ? reports.keys().next().value : undefined;
            if (oldest !== undefined) {
                reports.delete(oldest);
            }
            return known === undefined || listAllSuspects(merged).length > listAllSuspects(known).length;
        },
        expire: nowMs => {
            for (const [key, report] of reports) {
                if (nowMs - report.crashedAtMs > REPORT_VALID_MS) {
                    reports.delete(key);
                }
            }
        },
        list: () => [...reports.values()],
    };
}
