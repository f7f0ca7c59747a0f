import type { ResponseHeaders } from "../../endpoints/commands/sendAttempt.js";

/** Returns the content type of a response without its parameters. */
export const getMediaType = (headers: ResponseHeaders): string =>
    String(headers["content-type"] ?? "").split(";")[0]?.trim().toLowerCase() ?? "";
