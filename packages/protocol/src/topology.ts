/** Description of the processes of a running system, for external test and demo programs. */
import { z } from "zod";

export const processRoleSchema = z.enum(["host", "engine", "service", "platform", "weight-store"]);
export type ProcessRole = z.infer<typeof processRoleSchema>;

/** One process of the system, with the addresses it listens on. */
export const topologyProcessSchema = z.object({
    name: z.string(),
    role: processRoleSchema,
    failureDomain: z.string(),
    pid: z.number().int(),
    /** `ip:port` of the process; for a host, of its listener for callers. */
    address: z.string(),
    /** `ip:port` of a host's listener for operators. */
    operatorAddress: z.string().optional(),
});
export type TopologyProcess = z.infer<typeof topologyProcessSchema>;

/** The processes, and the workspaces with their caller keys. */
export const topologySchema = z.object({
    processes: z.array(topologyProcessSchema),
    workspaces: z.array(z.object({ name: z.string(), key: z.string() })),
});
export type Topology = z.infer<typeof topologySchema>;
