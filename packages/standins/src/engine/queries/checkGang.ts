/** Asks the other engines of a gang whether they hold their part of the memory. */
import { requestJson } from "@currantrill/http";
import { type GangMember, heldAllocationSchema } from "@currantrill/protocol";
import { z } from "zod";

const MEMBER_TIMEOUT_MS = 1_000;
const allocationsSchema = z.object({ allocations: z.array(heldAllocationSchema) });

/** Sum of the members' allocations in tokens, or what is wrong with one of them. */
export async function sumGangMemory(members: readonly GangMember[]): Promise<number | string> {
    const held = await Promise.all(members.map(findMemberTokens));
    const missing = members.find((_member, index) => held[index] === undefined);
    return missing === undefined
        ? held.reduce<number>((sum, tokens) => sum + (tokens ?? 0), 0)
        : `member ${missing.url} does not hold allocation ${missing.allocation_id}`;
}

/** What is wrong with a member, or `undefined`. */
export async function findGangFault(members: readonly GangMember[]): Promise<string | undefined> {
    const result = await sumGangMemory(members);
    return typeof result === "string" ? result : undefined;
}

async function findMemberTokens(member: GangMember): Promise<number | undefined> {
    const response = await requestJson(`${member.url}/v1/allocations`, { timeoutMs: MEMBER_TIMEOUT_MS })
        .catch(() => undefined);
    const parsed = allocationsSchema.safeParse(response?.body);
    return parsed.data?.allocations.find(entry => entry.allocation_id === member.allocation_id)?.tokens;
}
