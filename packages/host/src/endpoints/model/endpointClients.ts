/** Connections to endpoints, one pool for each URL. */
import { type Connections, createConnections } from "@currantrill/http";

export interface EndpointClients {
    get(url: string): Connections;
    close(): Promise<void>;
}

export function createEndpointClients(): EndpointClients {
    const clients = new Map<string, Connections>();
    return {
        get: url => {
            const known = clients.get(url) ?? createConnections(new URL(url).origin);
            clients.set(url, known);
            return known;
        },
        close: async () => {
            await Promise.all([...clients.values()].map(client => client.close()));
        },
    };
}
