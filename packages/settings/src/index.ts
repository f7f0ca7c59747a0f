export * from "./model/forwardingSettings.js";
export * from "./model/hostSettings.js";
export * from "./model/ticketSchema.js";
export * from "./queries/formatTicket.js";
export * from "./queries/parseForwardingSettings.js";
export * from "./queries/parseHostSettings.js";
export * from "./queries/parseTicket.js";
export * from "./queries/parseWithSchema.js";
