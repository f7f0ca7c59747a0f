/** Client of the platform's object store. */
import { z } from "zod";
import { createStoreError } from "../model/storeError.js";
import { createPlatformRequester, type PlatformClientOptions } from "./createPlatformRequester.js";

export interface ObjectClient {
    /** Reads an object; `undefined` if it is absent. Rejects with `StoreUnavailable`. */
    readObject(key: string): Promise<string | undefined>;
    /**
     * Writes an object. Rejects with `StoreUnavailable` or `StoreAnswerLost`. A repeated write of the same object is
     * harmless.
     */
    writeObject(key: string, text: string): Promise<void>;
}

const objectSchema = z.object({ text: z.string() });

/** Creates a client. */
export function createObjectClient(options: PlatformClientOptions): ObjectClient {
    const send = createPlatformRequester(options);
    const getPath = (key: string): string => `/v1/objects/${encodeURIComponent(key)}`;
    return {
        readObject: async key => {
            const response = await send({ method: "GET", path: getPath(key) });
            if (response.status === 404) {
                return undefined;
            }
            const parsed = objectSchema.safeParse(response.body);
            if (response.status !== 200 || !parsed.success) {
                throw createStoreError("StoreUnavailable", `the object store answered ${response.status} to a read`);
            }
            return parsed.data.text;
        },
        writeObject: async (key, text) => {
            const response = await send({ method: "PUT", path: getPath(key), body: { text } });
            if (response.status !== 200) {
                throw createStoreError("StoreUnavailable", `the object store answered ${response.status} to a write`);
            }
        },
    };
}
