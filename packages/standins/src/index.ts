export * from "./commands/serveEngine.js";
export * from "./commands/servePlatform.js";
export * from "./commands/serveService.js";
export * from "./commands/serveStandin.js";
