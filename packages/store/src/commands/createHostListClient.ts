/** Client of the platform's host list. The list is eventually consistent: it lags behind the state of the hosts. */
import { type ListedHost, listedHostSchema } from "@currantrill/protocol";
import { z } from "zod";
import { createStoreError } from "../model/storeError.js";
import { createPlatformRequester, type PlatformClientOptions } from "./createPlatformRequester.js";

/** Each method rejects with `StoreUnavailable` or `StoreAnswerLost`. Writes are idempotent, so they can be retried. */
export interface HostListClient {
    listHosts(): Promise<ListedHost[]>;
    /** Adds a host or replaces its entry. */
    putHost(host: ListedHost): Promise<void>;
    removeHost(id: string): Promise<void>;
}

const hostListSchema = z.object({ hosts: z.array(listedHostSchema) });

export function createHostListClient(options: PlatformClientOptions): HostListClient {
    const send = createPlatformRequester(options);
    const write = async (method: "PUT" | "DELETE", id: string, body?: ListedHost): Promise<void> => {
        const response = await send({
            method,
            path: `/v1/hosts/${encodeURIComponent(id)}`,
            ...(body === undefined ? {} : { body }),
        });
        if (response.status !== 200) {
            throw createStoreError("StoreUnavailable", `host list write failed with status ${response.status}`);
        }
    };
    return {
        listHosts: async () => {
            const response = await send({ method: "GET", path: "/v1/hosts" });
            const parsed = hostListSchema.safeParse(response.body);
            if (response.status !== 200 || !parsed.success) {
                throw createStoreError(
                    "StoreUnavailable",
                    `host list read failed with status ${response.status} or an invalid body`,
                );
            }
            return parsed.data.hosts;
        },
        putHost: host => write("PUT", host.id, host),
        removeHost: id => write("DELETE", id),
    };
}
