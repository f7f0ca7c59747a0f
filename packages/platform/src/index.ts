export * from "./tableClient.js";
