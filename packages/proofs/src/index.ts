export * from "./commands/runProofs.js";
export * from "./model/breaks.js";
export * from "./model/history.js";
export * from "./model/proof.js";
