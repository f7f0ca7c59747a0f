import { type CrashReport, describeCrash, listAllSuspects, mergeReports } from "./crashReport.js";
import type { SuspectId } from "./suspect.js";

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

/** Least time in which an endpoint is back, and in which all hosts have noticed its crash. */
const MIN_RESTART_MS = 1_000;

const wasSentAfter = ({ requests }: CrashReport, timeMs: number): boolean =>
    requests.some(({ sentAtMs }) => sentAtMs > timeMs);

/** Creates an empty log. */
export function createCrashLog(): CrashLog {
    const reports = new Map<string, CrashReport>();
    /** Lists the requests that reports on other crashes name. */
    const listNamed = (key: string): ReadonlySet<SuspectId> =>
        new Set(
            [...reports].flatMap(([other, { requests }]) => other === key ? [] : requests.map(each => each.suspect)),
        );
    /** Finds the key of a crash. An endpoint may crash again before its entry says that its process is another one. */
    const findKey = (report: CrashReport): string => {
        const name = describeCrash(report);
        for (let count = 1;; count += 1) {
            const key = count === 1 ? name : `${name}#${count}`;
            const known = reports.get(key);
            if (known === undefined || !wasSentAfter(report, known.crashedAtMs + MIN_RESTART_MS)) {
                return key;
            }
        }
    };
    return {
        add: report => {
            const key = findKey(report);
            const known = reports.get(key);
            const merged = known === undefined ? report : mergeReports(known, report, listNamed(key));
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
