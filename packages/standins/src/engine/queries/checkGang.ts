/**
 * Checks whether the other members of a gang hold their allocations. A gang is a group of engines that run one prompt
 * together because it does not fit into the memory of one engine.
 */
import { requestJson } from "@currantrill/http";
import { type GangMember, heldAllocationSchema } from "@currantrill/protocol";
import { z } from "zod";

const MEMBER_TIMEOUT_MS = 1_000;
const allocationsSchema = z.object({ allocations: z.array(heldAllocationSchema) });

/** Resolves to the sum of the members' allocations in tokens, or to an error text if a member holds no allocation. */
export async function sumMemberTokens(members: readonly GangMember[]): Promise<number | string> {
    const heldTokens = await Promise.all(members.map(findMemberTokens));
    const memberWithoutAllocation = members.find((_member, index) => heldTokens[index] === undefined);
    return memberWithoutAllocation === undefined
        ? heldTokens.reduce<number>((sum, tokens) => sum + (tokens ?? 0), 0)
        : `member ${memberWithoutAllocation.url} does not hold allocation ${memberWithoutAllocation.allocation_id}`;
}

/** Resolves to an error text if a member does not hold its allocation or does not respond, otherwise to `undefined`. */
export async function findMissingMemberAllocation(members: readonly GangMember[]): Promise<string | undefined> {
    const result = await sumMemberTokens(members);
    return typeof result === "string" ? result : undefined;
}

async function findMemberTokens(member: GangMember): Promise<number | undefined> {
    const response = await requestJson(`${member.url}/v1/allocations`, { timeoutMs: MEMBER_TIMEOUT_MS })
        .catch(() => undefined);
    const parsed = allocationsSchema.safeParse(response?.body);
    return parsed.data?.allocations.find(entry => entry.allocation_id === member.allocation_id)?.tokens;
}
