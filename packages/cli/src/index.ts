export * from "./commands/runApplication.js";
export * from "./model/report.js";
