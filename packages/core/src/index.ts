export * from "./configuration/queries/planTicket.js";
export * from "./membership/index.js";
export * from "./model/configuration.js";
export * from "./model/finding.js";
export * from "./queries/listObjects.js";
