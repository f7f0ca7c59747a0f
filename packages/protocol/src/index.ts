export * from "./callerApi.js";
export * from "./engineApi.js";
export * from "./ids.js";
export * from "./ledger.js";
export * from "./operatorApi.js";
export * from "./peerMessages.js";
export * from "./platformApi.js";
export * from "./topology.js";
