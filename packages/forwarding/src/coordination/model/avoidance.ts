/** Time for which a coordinator that has not answered, or could not, is asked last. */
const AVOID_MS = 1_000;

/** Remembers which coordinators could not answer a moment ago, so that not every query waits for them. */
export interface Avoidance {
    /** Records that a coordinator could not answer. */
    readonly add: (coordinator: string) => void;
    /** Records that a coordinator has answered. */
    readonly clear: (coordinator: string) => void;
    /** Returns whether a coordinator could not answer a moment ago. */
    readonly has: (coordinator: string) => boolean;
    /** Returns the coordinators in the order in which to ask them. */
    readonly sort: (coordinators: readonly string[]) => readonly string[];
}

/** Creates an avoidance without any coordinators. */
export function createAvoidance(): Avoidance {
    const untilMs = new Map<string, number>();
    const has = (coordinator: string): boolean => (untilMs.get(coordinator) ?? -Infinity) > performance.now();
    return {
        has,
        add: coordinator => void untilMs.set(coordinator, performance.now() + AVOID_MS),
        clear: coordinator => void untilMs.delete(coordinator),
        sort: coordinators => [...coordinators.filter(each => !has(each)), ...coordinators.filter(has)],
    };
}
