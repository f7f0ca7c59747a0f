import type { EndpointId, HostId } from "@currantrill/protocol";

/** Hash function over text, such as `h32ToString` of xxhash with a fixed seed. */
export type HashText = (text: string) => number;

/**
 * Orders the endpoints by rendezvous hashing with the host's id. Each host prefers different endpoints among equals,
 * so that hosts with the same lagging reports spread their requests.
 */
export function createHostOrder(
    host: HostId,
    endpoints: readonly EndpointId[],
    hashText: HashText,
): ReadonlyMap<EndpointId, number> {
    const hashed = endpoints.map(endpoint => ({ endpoint, hash: hashText(`${host}/${endpoint}`) }));
    hashed.sort((a, b) => a.hash - b.hash);
    return new Map(hashed.map(({ endpoint }, position) => [endpoint, position]));
}
