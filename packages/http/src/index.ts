export * from "./connectionHeaders.js";
export * from "./createConnections.js";
export * from "./readEvents.js";
export * from "./readRawBody.js";
export * from "./requestJson.js";
export * from "./serveHttp.js";
export * from "./watchSend.js";
