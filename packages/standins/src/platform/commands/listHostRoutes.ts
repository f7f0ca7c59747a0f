/** Routes of the host list, whose changes can be read only after a lag. */
import { type Route, sendJson } from "@currantrill/http";
import { listedHostSchema } from "@currantrill/protocol";
import { readBody } from "../../commands/readBody.js";
import type { PlatformState } from "../model/platformState.js";
import { getKey } from "./listTableRoutes.js";

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
            handle: readBody(listedHostSchema, (host, response) => {
                setTimeout(() => state.hosts.set(host.id, host), lagMs);
                sendJson(response, 200, {});
            }),
        },
        {
            method: "DELETE",
            path: "/v1/hosts/:key",
            handle: (request, response) => {
                setTimeout(() => state.hosts.delete(getKey(request)), lagMs);
                sendJson(response, 200, {});
            },
        },
    ];
}
