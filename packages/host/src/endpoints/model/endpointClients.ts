/** Connections to endpoints, one pool for each origin. */
import { type Connections, createConnections } from "@currantrill/http";

export interface EndpointClients {
    get(url: string): Connections;
    close(): Promise<void>;
}

export function createEndpointClients(): EndpointClients {
    const clients = new Map<string, Connections>();
    return {
        get: url => {
            const { origin } = new URL(url);
            const known = clients.get(origin) ?? createConnections(origin);
            clients.set(origin, known);
            return known;
        },
        close: async () => {
            await Promise.all([...clients.values()].map(client => client.close()));
        },
    };
}
