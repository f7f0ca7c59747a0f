export * from "./createLog.js";
