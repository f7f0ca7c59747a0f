export * from "./commands/runProofs.js";
export * from "./model/history.js";
export * from "./model/mutations.js";
export * from "./model/proof.js";
