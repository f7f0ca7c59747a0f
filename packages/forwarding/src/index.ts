export * from "./commands/runForwarding.js";
export * from "./commands/startForwarding.js";
export * from "./configuration/model/configurationIndex.js";
export * from "./configuration/model/servingConfiguration.js";
export * from "./ports/index.js";
