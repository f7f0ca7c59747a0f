/** Peers from which a host can copy one table. */

/** Most copies of a table that are fetched at a time. */
const MAX_IN_PROGRESS = 3;

export interface CopySources {
    /** Records the version of the table that a peer has. */
    readonly recordAnnouncement: (peer: string, version: number) => void;
    readonly recordStart: (peer: string) => void;
    /** Records the end of a fetch. A peer that gave no copy is asked again after all others. */
    readonly recordEnd: (peer: string, isCopied: boolean) => void;
    readonly countInProgress: () => number;
    /** Drops the peers whose table is not newer than `version`, and returns whether one is left. */
    readonly hasNewer: (version: number) => boolean;
    /** Returns the peer to ask next; `undefined` if all of them, or as many as allowed, are being asked. */
    readonly choose: () => string | undefined;
}

export function createCopySources(): CopySources {
    /** Versions by peer, in the order of the first announcement. */
    const versions = new Map<string, number>();
    const inProgress = new Set<string>();
    /** Peers that gave no copy when they were last asked, the latest one last. */
    const failed = new Set<string>();
    return {
        recordAnnouncement: (peer, version) => void versions.set(peer, version),
        recordStart: peer => void inProgress.add(peer),
        recordEnd: (peer, isCopied) => {
            inProgress.delete(peer);
            failed.delete(peer);
            if (!isCopied) {
                failed.add(peer);
            }
        },
        countInProgress: () => inProgress.size,
        hasNewer: version => {
            for (const [peer, known] of versions) {
                if (known <= version) {
                    versions.delete(peer);
                    failed.delete(peer);
                }
            }
            return versions.size > 0;
        },
        choose: () => {
            if (inProgress.size >= MAX_IN_PROGRESS) {
                return undefined;
            }
            const idle = [...versions.keys()].filter(peer => !inProgress.has(peer));
            return idle.find(peer => !failed.has(peer)) ?? [...failed].find(peer => idle.includes(peer));
        },
    };
}
