export * from "./startProcessReport.js";
export * from "./startProgress.js";
