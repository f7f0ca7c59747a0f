import { listObjects, type WorkspaceObject } from "@currantrill/core";
import { callerHeaders } from "@currantrill/protocol";
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import type { HostContext } from "../../model/hostContext.js";
import { CallerError } from "../model/callerError.js";

const BEARER = /^Bearer (\S+)$/;

/** Finds the workspace that a request's key belongs to. Throws a 401 error if there is none. */
export function findWorkspace(context: HostContext, headers: IncomingHttpHeaders): WorkspaceObject {
    const key = BEARER.exec(headers[callerHeaders.authorization] ?? "")?.[1];
    const digest = key === undefined ? undefined : createHash("sha256").update(key).digest("hex");
    const workspace = listObjects(context.configuration.current, "workspace").find(entry => entry.keySha256 === digest);
    if (workspace === undefined) {
        throw new CallerError({
            status: 401,
            code: "unknown_workspace",
            message: "Send the workspace key in the header Authorization as a bearer token.",
            field: "Authorization",
        });
    }
    return workspace;
}
