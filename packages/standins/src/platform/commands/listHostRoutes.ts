/** Platform routes of the host list. A change becomes readable only after a lag. */
import { type Route, sendJson } from "@currantrill/http";
import { listedHostSchema } from "@currantrill/protocol";
import { validateBody } from "../../commands/validateBody.js";
import type { PlatformState } from "../model/platformState.js";
import { decodeKey } from "./listTableRoutes.js";

/** Lists the routes. `lagMs` is the delay until a change becomes readable, in milliseconds. */
export function listHostRoutes(state: PlatformState, lagMs: number): Route[] {
    return [
        {
            method: "GET",
            path: "/v1/hosts",
            handle: (_request, response) => sendJson(response, 200, { hosts: [...state.hosts.values()] }),
        },
        {
            method: "PUT",
            path: "/v1/hosts/:key",
            handle: validateBody(listedHostSchema, (host, response) => {
                setTimeout(() => state.hosts.set(host.id, host), lagMs);
                sendJson(response, 200, {});
            }),
        },
        {
            method: "DELETE",
            path: "/v1/hosts/:key",
            handle: (request, response) => {
                setTimeout(() => state.hosts.delete(decodeKey(request)), lagMs);
                sendJson(response, 200, {});
            },
        },
    ];
}
