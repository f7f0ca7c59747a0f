import { type HttpHandler, type HttpRequest, sendJson } from "@currantrill/http";
import type { ServerResponse } from "node:http";
import type { z } from "zod";

type BodyHandler<T> = (body: T, response: ServerResponse, request: HttpRequest) => void | Promise<void>;

/** Wraps a handler so that it receives the validated JSON body. A body that does not match the schema gets status 400. */
export function validateBody<T>(schema: z.ZodType<T>, handle: BodyHandler<T>): HttpHandler {
    return (request, response) => {
        const parsed = schema.safeParse(request.body);
        if (!parsed.success) {
            sendJson(response, 400, { error: parsed.error.message });
            return;
        }
        return handle(parsed.data, response, request);
    };
}
