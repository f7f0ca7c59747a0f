export * from "./createLog.js";
export * from "./createThrottledLog.js";
