import { expect, it } from "vitest";
import { computeCallerBytes } from "../../src/queries/computeCallerBytes.js";

const MB = 1_048_576;

// Guards against a budget that exceeds the memory of a small host, or the heap on a large one.
it.each([
    { memoryMb: 176, callerMb: 24 },
    { memoryMb: 202, callerMb: 36 },
    { memoryMb: 240, callerMb: 69 },
    { memoryMb: 4_096, callerMb: 96 },
])("gives callers $callerMb MB of a host with $memoryMb MB", ({ memoryMb, callerMb }) => {
    expect(computeCallerBytes(memoryMb)).toBe(callerMb * MB);
});
