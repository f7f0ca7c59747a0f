export * from "./startHost.js";
