export * from "./commands/releaseLoads.js";
export * from "./model/lease.js";
export * from "./model/loadRateLimiter.js";
export * from "./model/placement.js";
export * from "./queries/decideLease.js";
export * from "./queries/planLoads.js";
