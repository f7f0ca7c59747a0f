import { toModelId, toRequestId } from "@currantrill/protocol";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { describe, expect, it } from "vitest";
import { createCompletionWriter } from "../../src/callers/model/completionWriter.js";
import type { PromptRequest } from "../../src/callers/model/promptRequest.js";

const request: PromptRequest = {
    kind: "text",
    model: toModelId("model"),
    maxTokens: 3,
    stream: true,
    prompt: "x",
    promptTokens: 1,
    lengthClass: "short",
    prefixHashes: [],
};

/** A response whose caller does not read, so that its buffer is always full. */
class BlockedResponse extends EventEmitter {
    readonly chunks: string[] = [];
    writeHead(): void {
        // The tests do not look at headers.
    }
    write(chunk: string): boolean {
        this.chunks.push(chunk);
        return false;
    }
    end(chunk: string): void {
        this.chunks.push(chunk);
    }
}

const createBlockedWriter = () => {
    const response = new BlockedResponse();
    const controller = new AbortController();
    const writer = createCompletionWriter(
        request,
        toRequestId("r"),
        response as unknown as ServerResponse,
        controller.signal,
    );
    return { response, controller, writer };
};

describe("createCompletionWriter guards against blocking an engine for a caller that does not read", () => {
    it("waits until the caller reads", async () => {
        const { response, writer } = createBlockedWriter();
        const pendingWrite = writer.write("a");
        response.emit("drain");
        await expect(pendingWrite).resolves.toBeUndefined();
    });

    it("stops waiting when the request is aborted", async () => {
        const { controller, writer } = createBlockedWriter();
        const pendingWrite = writer.write("a");
        controller.abort(new Error("timeout"));
        await expect(pendingWrite).rejects.toThrow();
    });

    it("reports finish_reason 'stop' for a completion that ended before max_tokens", () => {
        const { response, writer } = createBlockedWriter();
        void writer.write("a");
        writer.finish();
        expect(response.chunks.join("")).toMatch(/"finish_reason":null.*"finish_reason":"stop".*\[DONE\]/s);
    });
});
