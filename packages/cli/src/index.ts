export * from "./commands/applyTicket.js";
