/** Tracks for how long peers have known of changes of tables that this host does not have. */
import type Logger from "bunyan";
import type { SharedTable } from "../../replicas/model/sharedTable.js";

export interface TableLags {
    /** Records the version of a table that a peer announces. `isFetching`: a copy of the table is being fetched. */
    readonly record: (name: string, announcement: TableAnnouncement) => void;
    /** Returns for how long the host has been behind, in milliseconds by table; 0 if it is not. */
    readonly getBehindMs: () => Readonly<Record<string, number>>;
}

export interface TableAnnouncement {
    readonly peer: string;
    readonly version: number;
    readonly isFetching: boolean;
}

/** Half of the time in which the platform expects a change to be in force. */
const WARNING_INTERVAL_MS = 1_000;

interface Lag {
    /** Newest version that a peer has announced. */
    version: number;
    sinceMs: number;
    warnedAtMs: number;
}

export function createTableLags(tables: ReadonlyMap<string, SharedTable>, log: Logger): TableLags {
    const lags = new Map<string, Lag>();
    const getLag = (name: string): Lag => {
        const lag = lags.get(name) ?? { version: -1, sinceMs: 0, warnedAtMs: -Infinity };
        lags.set(name, lag);
        return lag;
    };
    const getVersion = (name: string): number => tables.get(name)?.getReplica().version ?? -1;
    const computeBehindMs = (name: string): number => {
        const { version, sinceMs } = getLag(name);
        return version > getVersion(name) ? performance.now() - sinceMs : 0;
    };
    const warnIfBehind = (name: string, lag: Lag, { peer, isFetching }: TableAnnouncement): void => {
        const nowMs = performance.now();
        const behindMs = Math.round(computeBehindMs(name));
        if (behindMs >= WARNING_INTERVAL_MS && nowMs - lag.warnedAtMs >= WARNING_INTERVAL_MS) {
            lag.warnedAtMs = nowMs;
            log.warn({ peer, table: name, behindMs, isFetching }, "peers: a table is behind a peer's");
        }
    };
    return {
        record: (name, announcement) => {
            const lag = getLag(name);
            const version = getVersion(name);
            if (announcement.version <= version) {
                return;
            }
            if (lag.version <= version) {
                lag.sinceMs = performance.now();
            }
            lag.version = Math.max(lag.version, announcement.version);
            warnIfBehind(name, lag, announcement);
        },
        getBehindMs: () => Object.fromEntries([...tables.keys()].map(name => [name, computeBehindMs(name)])),
    };
}
