export * from "./callerProtocol.js";
export * from "./endpointProtocol.js";
export * from "./platformRows.js";
export * from "./storePosition.js";
export * from "./tableSource.js";
