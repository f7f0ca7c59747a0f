export * from "./collectSignals.js";
export * from "./createAddressBinder.js";
export * from "./endProcess.js";
export * from "./exitCodes.js";
export * from "./handleStopSignals.js";
export * from "./monitorStart.js";
export * from "./startProcessReport.js";
export * from "./startProgress.js";
