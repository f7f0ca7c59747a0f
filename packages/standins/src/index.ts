export * from "./commands/serveService.js";
export * from "./commands/serveStandin.js";
export * from "./commands/serveWeightStore.js";
export * from "./engine/commands/serveEngine.js";
export { formatToken } from "./engine/commands/stepEngine.js";
export * from "./engine/model/engineOptions.js";
export * from "./platform/commands/servePlatform.js";
export * from "./queries/findFreePorts.js";
