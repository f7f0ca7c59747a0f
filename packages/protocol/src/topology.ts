/** Description of a running system for programs that check it from outside. */
import { z } from "zod";

export const processRoleSchema = z.enum(["host", "engine", "service", "platform", "weight-store"]);
export type ProcessRole = z.infer<typeof processRoleSchema>;

export const topologyProcessSchema = z.object({
    name: z.string(),
    role: processRoleSchema,
    failureDomain: z.string(),
    pid: z.number().int(),
    /** `ip:port`; for a host, of the callers' listener. */
    address: z.string(),
    /** `ip:port` of a host's operator listener. */
    operatorAddress: z.string().optional(),
});
export type TopologyProcess = z.infer<typeof topologyProcessSchema>;

export const topologySchema = z.object({
    processes: z.array(topologyProcessSchema),
    workspaces: z.array(z.object({ name: z.string(), key: z.string() })),
});
export type Topology = z.infer<typeof topologySchema>;
