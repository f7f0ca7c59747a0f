export * from "./createConnections.js";
export * from "./readEvents.js";
export * from "./requestJson.js";
export * from "./serveHttp.js";
