import { isLongClass } from "../../model/lengthClass.js";
import type { OwnLoad, OwnWork } from "../model/endpointView.js";

/** Sums a host's own work on an endpoint. Work sent after `observedAtMs` is not in the report of that time. */
export function sumOwnLoad(work: readonly OwnWork[], observedAtMs: number): OwnLoad {
    const prefills = work.filter(entry => entry.inPrefill);
    const unreported = work.filter(entry => entry.sentAtMs > observedAtMs);
    return {
        requests: work.length,
        prefillTokens: sumTokens(prefills, entry => entry.prefillTokens),
        shortPrefillTokens: sumTokens(prefills, entry => entry.lengthClass === "short" ? entry.prefillTokens : 0),
        urgentPrefillTokens: sumTokens(prefills, entry => isLongClass(entry.lengthClass) ? 0 : entry.prefillTokens),
        longPrefills: prefills.filter(entry => isLongClass(entry.lengthClass)).length,
        oldestPrefillAtMs: findEarliest(prefills),
        requestsSinceReport: unreported.length,
        prefillTokensSinceReport: sumTokens(unreported, entry => entry.inPrefill ? entry.prefillTokens : 0),
        memoryTokensSinceReport: sumTokens(unreported, entry => entry.memoryTokens),
        firstSinceReportAtMs: findEarliest(unreported.filter(entry => entry.inPrefill)),
    };
}

const sumTokens = (work: readonly OwnWork[], read: (entry: OwnWork) => number): number =>
    work.reduce((sum, entry) => sum + read(entry), 0);

const findEarliest = (work: readonly OwnWork[]): number =>
    work.reduce((earliest, entry) => Math.min(earliest, entry.sentAtMs), Infinity);
