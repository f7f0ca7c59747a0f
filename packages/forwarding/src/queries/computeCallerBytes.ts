const BYTES_PER_MB = 1_048_576;
/** Fraction of the memory of a host that a process may use. */
const PROCESS_FRACTION = 0.85;
/**
 * Memory of a process without callers, with the garbage that the runtime collects late: buffers of up to 32 MB that have been
 * read, and up to three young spaces.
 */
const OWN_MB = 135;
/** A longest body with its first copy, and the responses to other callers, fit into it. */
const MIN_CALLER_MB = 24;
/** More would exceed the heap of 200 MB of the deployment, if it were held in objects. */
const MAX_CALLER_MB = 96;

/** Returns the memory that callers may make a process hold, in bytes, on a host with this memory. */
export function computeCallerBytes(memoryMb: number): number {
    const callerMb = Math.floor(memoryMb * PROCESS_FRACTION) - OWN_MB;
    return Math.min(MAX_CALLER_MB, Math.max(MIN_CALLER_MB, callerMb)) * BYTES_PER_MB;
}
