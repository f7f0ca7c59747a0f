import type { WorkspaceId } from "@currantrill/protocol";
import type { ConfigurationIndex } from "../model/configurationIndex.js";
import type { Route } from "../model/servingConfiguration.js";

/** Result of the check. `workspace` is absent for an anonymous request; 0 is the most urgent priority. */
export type Authorization =
    | { readonly allowed: true; readonly workspace?: WorkspaceId; readonly priority: number; }
    | { readonly allowed: false; };

const BEARER = /^Bearer +(\S+)$/i;

/** Decides whether a request may use a route, and determines its workspace and priority from the bearer key. */
export function checkAuthorization(
    index: ConfigurationIndex,
    route: Route,
    authorization: string | undefined,
): Authorization {
    if (index.configuration.workspaces === undefined) {
        return { allowed: true, priority: route.priority };
    }
    const key = BEARER.exec(authorization ?? "")?.[1];
    const workspace = key === undefined ? undefined : index.workspacesByKey.get(key);
    if (workspace !== undefined) {
        return { allowed: true, workspace: workspace.name, priority: workspace.priority ?? route.priority };
    }
    return route.allowsAnonymous ? { allowed: true, priority: route.priority } : { allowed: false };
}
