import type { EventEmitter } from "node:events";

const signals = ["SIGTERM", "SIGINT", "SIGHUP"] as const;

/** A signal by which a host is stopped, or told of changed settings. */
export type HostSignal = typeof signals[number];

export interface CollectedSignals {
    /** Passes each signal to a handler; those that have already come first, once each. */
    readonly setHandler: (handle: (signal: HostSignal) => void) => void;
    /** Stops listening. Other listeners have to be set before, since a signal without one ends the process. */
    readonly close: () => void;
}

/** Listens for signals from now on, and keeps those that come before there is a handler. */
export function collectSignals(source: Pick<EventEmitter, "on" | "off"> = process): CollectedSignals {
    const waiting = new Set<HostSignal>();
    let handle = (signal: HostSignal): void => void waiting.add(signal);
    const listeners = signals.map(signal => {
        const listen = (): void => handle(signal);
        source.on(signal, listen);
        return { signal, listen };
    });
    return {
        setHandler: handler => {
            handle = handler;
            waiting.forEach(handler);
            waiting.clear();
        },
        close: () => listeners.forEach(({ signal, listen }) => source.off(signal, listen)),
    };
}
