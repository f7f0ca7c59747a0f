import type Logger from "bunyan";
import VError from "verror";

/** Interval between tries to bind an address. */
const RETRY_INTERVAL_MS = 100;
/**
 * Reasons that pass: the former process of the host, or a connection with the same local port, still has the address,
 * or the network interface is not up yet.
 */
const temporaryCodes: ReadonlySet<string> = new Set(["EADDRINUSE", "EADDRNOTAVAIL"]);

/** Name of the error of an address that could not be bound. */
export const ADDRESS_ERROR = "AddressError";

/** Binds a listener to an address. `name` is the setting that has the address. */
export type AddressBinder = <T>(name: string, address: string, bind: () => Promise<T>) => Promise<T>;

export interface AddressBinderOptions {
    readonly log: Logger;
    /** Time limit for all addresses together, in milliseconds. */
    readonly timeoutMs: number;
}

/**
 * Creates a binder that repeats `bind` while the address is not available, until the time limit. Rejects with an
 * `AddressError` then, and at once for any other reason.
 */
export function createAddressBinder({ log, timeoutMs }: AddressBinderOptions): AddressBinder {
    const endMs = performance.now() + timeoutMs;
    return async (name, address, bind) => {
        for (let failures = 0;; failures += 1) {
            try {
                const bound = await bind();
                if (failures > 0) {
                    log.info({ name, address, failures }, "host: address is available again");
                }
                return bound;
            }
            catch (error) {
                const cause = error as NodeJS.ErrnoException;
                if (!temporaryCodes.has(cause.code ?? "") || performance.now() >= endMs) {
                    throw new VError(
                        { name: ADDRESS_ERROR, cause, info: { name, address } },
                        "cannot listen on %s (setting listen.%s)",
                        address,
                        name,
                    );
                }
                if (failures === 0) {
                    log.warn({ err: cause, name, address, timeoutMs }, "host: address is not available, trying again");
                }
                await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL_MS));
            }
        }
    };
}
