import { toModelId, toRequestId } from "@currantrill/protocol";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { describe, expect, it } from "vitest";
import { createAnswerWriter } from "../../src/callers/model/answerWriter.js";
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

/** A response whose caller reads nothing. */
class FullResponse extends EventEmitter {
    readonly chunks: string[] = [];
    writeHead(): void {
        // Headers are of no interest here.
    }
    write(chunk: string): boolean {
        this.chunks.push(chunk);
        return false;
    }
    end(chunk: string): void {
        this.chunks.push(chunk);
    }
}

const create = () => {
    const response = new FullResponse();
    const controller = new AbortController();
    const writer = createAnswerWriter(
        request,
        toRequestId("r"),
        response as unknown as ServerResponse,
        controller.signal,
    );
    return { response, controller, writer };
};

describe("createAnswerWriter guards against holding an engine for a caller that does not read", () => {
    it("waits for the caller and goes on when it reads", async () => {
        const { response, writer } = create();
        const written = writer.write("a");
        response.emit("drain");
        await expect(written).resolves.toBeUndefined();
    });

    it("gives up when the request ends", async () => {
        const { controller, writer } = create();
        const written = writer.write("a");
        controller.abort(new Error("timeout"));
        await expect(written).rejects.toThrow();
    });

    it("tells an answer that ended early from one that was cut at max_tokens", () => {
        const { response, writer } = create();
        void writer.write("a");
        writer.finish();
        expect(response.chunks.join("")).toMatch(/"finish_reason":null.*"finish_reason":"stop".*\[DONE\]/s);
    });
});
