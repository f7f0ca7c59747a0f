/** Client of the platform's host list, which lags behind the hosts' own state. */
import { type ListedHost, listedHostSchema } from "@currantrill/protocol";
import { z } from "zod";
import { createStoreError } from "../model/storeError.js";
import { createPlatformRequester, type PlatformClientOptions } from "./createPlatformRequester.js";

/** Each method rejects with `StoreUnavailable` or `StoreAnswerLost`; every write may be repeated. */
export interface HostListClient {
    listHosts(): Promise<ListedHost[]>;
    /** Adds a host or changes its state. */
    putHost(host: ListedHost): Promise<void>;
    removeHost(id: string): Promise<void>;
}

const hostListSchema = z.object({ hosts: z.array(listedHostSchema) });

/** Creates a client. */
export function createHostListClient(options: PlatformClientOptions): HostListClient {
    const send = createPlatformRequester(options);
    const write = async (method: "PUT" | "DELETE", id: string, body?: ListedHost): Promise<void> => {
        const response = await send({
            method,
            path: `/v1/hosts/${encodeURIComponent(id)}`,
            ...(body === undefined ? {} : { body }),
        });
        if (response.status !== 200) {
            throw createStoreError("StoreUnavailable", `the host list answered ${response.status} to a write`);
        }
    };
    return {
        listHosts: async () => {
            const response = await send({ method: "GET", path: "/v1/hosts" });
            const parsed = hostListSchema.safeParse(response.body);
            if (response.status !== 200 || !parsed.success) {
                throw createStoreError("StoreUnavailable", `the host list answered ${response.status} to a read`);
            }
            return parsed.data.hosts;
        },
        putHost: host => write("PUT", host.id, host),
        removeHost: id => write("DELETE", id),
    };
}
