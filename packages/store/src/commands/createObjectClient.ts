import { z } from "zod";
import { createStoreError } from "../model/storeError.js";
import { createPlatformRequester, type PlatformClientOptions } from "./createPlatformRequester.js";

/** Client of the platform's object store, which keeps one text per key. */
export interface ObjectClient {
    /** Reads an object; `undefined` if it is absent. Rejects with `StoreUnavailable`. */
    readObject(key: string): Promise<string | undefined>;
    /**
     * Writes an object. Rejects with `StoreUnavailable` or `StoreAnswerLost`. Writing the same object again is
     * idempotent.
     */
    writeObject(key: string, text: string): Promise<void>;
}

const objectSchema = z.object({ text: z.string() });

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
                throw createStoreError(
                    "StoreUnavailable",
                    `object store read failed with status ${response.status} or an invalid body`,
                );
            }
            return parsed.data.text;
        },
        writeObject: async (key, text) => {
            const response = await send({ method: "PUT", path: getPath(key), body: { text } });
            if (response.status !== 200) {
                throw createStoreError("StoreUnavailable", `object store write failed with status ${response.status}`);
            }
        },
    };
}
