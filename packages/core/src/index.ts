export * from "./configuration/queries/planTicket.js";
export * from "./model/configuration.js";
export * from "./model/finding.js";
export * from "./queries/listObjects.js";
export * from "./streams/commands/acceptStreamEvent.js";
export * from "./streams/model/streamState.js";
export * from "./streams/queries/getProgressDeadline.js";
