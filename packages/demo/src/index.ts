export * from "./commands/runOnce.js";
export * from "./commands/startProcess.js";
export * from "./commands/startSystem.js";
export * from "./queries/findFreePorts.js";
