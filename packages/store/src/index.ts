export * from "./commands/createHostListClient.js";
export * from "./commands/createObjectClient.js";
export * from "./commands/createPlatformRequester.js";
export * from "./commands/createTableClient.js";
export * from "./model/backoff.js";
export * from "./model/storeError.js";
