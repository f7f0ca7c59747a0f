/** Limits the memory that all messages of one kind occupy at the same time. */
export interface ByteBudget {
    /** Takes bytes from the budget. Returns `false`, without taking any, if they exceed what is left. */
    readonly take: (bytes: number) => boolean;
    /** Returns bytes that were taken. */
    readonly give: (bytes: number) => void;
    readonly getUsed: () => number;
}

/** Creates a budget of which nothing is used. The limit is read on each call, since settings can change. */
export function createByteBudget(getLimit: () => number): ByteBudget {
    let used = 0;
    return {
        take: bytes => {
            if (used + bytes > getLimit()) {
                return false;
            }
            used += bytes;
            return true;
        },
        give: bytes => {
            used -= bytes;
        },
        getUsed: () => used,
    };
}
