export * from "./createGuardedDispatcher.js";
export * from "./createHttpConnectionPool.js";
export * from "./nonForwardedHeaders.js";
export * from "./readRawBody.js";
export * from "./readServerSentEvents.js";
export * from "./requestJson.js";
export * from "./serveHttp.js";
