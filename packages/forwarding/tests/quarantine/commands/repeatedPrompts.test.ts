import { toServiceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { createQuarantineState } from "../../../src/quarantine/model/quarantineState.js";
import { createRequestIdentity } from "../../../src/quarantine/model/requestIdentity.js";
import { toPartSuspect, toRequestSuspect } from "../../../src/quarantine/model/suspect.js";

const service = toServiceId("pool");
const PART = toPartSuspect("bad");
/** Crashes until the part is isolated; before requests were tracked, three were enough. */
const MAX_CRASHES = 6;

describe("a part of prompts that crashes endpoints", () => {
    // Guards against a part that is never found because callers repeat each prompt with it: the prompts are isolated one
    // by one, each explains its own crashes, and each new prompt ends endpoints again.
    it.each([1, 2, 3, 4])("is isolated if each prompt with it is sent %d times in a row", repeats => {
        const state = createQuarantineState({
            getSettings: () => ({ crashes: 3, retry_after_ms: 30_000, forget_after_ms: 1_800_000 }),
            onEntry: () => undefined,
            onForgotten: () => undefined,
            onNews: () => undefined,
        });
        let crashes = 0;
        for (let prompt = 0; prompt < 10; prompt += 1) {
            const identity = createRequestIdentity({
                method: "POST",
                host: "a",
                target: "/p",
                body: Buffer.from(`prompt ${prompt}`),
            });
            const request = { service, parts: [PART], identity };
            for (let repeat = 0; repeat < repeats; repeat += 1) {
                if (state.findIsolated(service, state.listSuspects(request)) !== undefined) {
                    continue;
                }
                const atMs = (prompt * repeats + repeat) * 1_000;
                crashes += 1;
                state.recordCrash({
                    endpointId: `e${prompt}-${repeat}`,
                    processStartedAtMs: 1,
                    service,
                    crashedAtMs: atMs,
                    begunParts: [PART],
                    waitingParts: [],
                    requests: [{ suspect: toRequestSuspect(identity.getDigest()), sentAtMs: atMs - 20 }],
                }, atMs);
            }
        }
        expect(state.findIsolated(service, [PART])).toBeDefined();
        expect(crashes).toBeLessThanOrEqual(MAX_CRASHES);
    });
});
