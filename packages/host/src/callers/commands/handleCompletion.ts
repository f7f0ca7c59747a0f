/** Serves completion requests. */
import { findObject } from "@currantrill/core";
import type { HttpRequest } from "@currantrill/http";
import type { ServerResponse } from "node:http";
import { admitWorkspace } from "../../limits/commands/admitWorkspace.js";
import type { HostContext } from "../../model/hostContext.js";
import { servePrompt } from "../../prompts/commands/servePrompt.js";
import { createPromptJob } from "../../prompts/model/promptJob.js";
import { getConfigurationIndex, listAllowedEndpoints } from "../../queries/getConfigurationIndex.js";
import { CallerError } from "../model/callerError.js";
import { createCompletionWriter } from "../model/completionWriter.js";
import type { CompletionKind } from "../model/promptRequest.js";
import type { RequestScope } from "../model/requestScope.js";
import { parsePrompt } from "../queries/parsePrompt.js";

/**
 * Validates and admits a request and serves its prompt. Rejects with a `CallerError`, possibly after the first token of
 * a stream was sent.
 */
export async function handleCompletion(
    context: HostContext,
    kind: CompletionKind,
    scope: RequestScope,
    request: HttpRequest,
    response: ServerResponse,
): Promise<void> {
    const configuration = context.configuration.current;
    const prompt = parsePrompt(kind, request.body as Buffer, configuration, context.settings.limits);
    const pools = findObject(configuration, "model", prompt.model)?.pools ?? [];
    const allowed = listAllowedEndpoints(getConfigurationIndex(configuration), scope.workspace.name, pools);
    if (allowed.length === 0) {
        throw new CallerError("not_allowed", {
            message: "No rule lets the workspace use the model's pools.",
            field: "model",
        });
    }
    const writer = createCompletionWriter(prompt, scope.requestId, response, scope.signal);
    const grant = admitWorkspace(context, scope.workspace, prompt.promptTokens + prompt.maxTokens);
    const job = createPromptJob({
        scope,
        request: prompt,
        writer,
        allowedEndpoints: allowed.map(entry => entry.name),
        grant,
    });
    await servePrompt(context, job).finally(() => grant.end());
}
