/** HTTP connection pools to endpoints, one for each URL. */
import { createHttpConnectionPool, type HttpConnectionPool } from "@currantrill/http";

/** Connection pools by endpoint URL. A pool is kept until `close`, also when its endpoint is no longer configured. */
export interface EndpointClients {
    /** Returns the pool for a URL and creates it on first use. */
    get(url: string): HttpConnectionPool;
    /** Resolves when the requests in flight on all pools have ended. */
    close(): Promise<void>;
}

export function createEndpointClients(): EndpointClients {
    const clients = new Map<string, HttpConnectionPool>();
    return {
        get: url => {
            const connections = clients.get(url) ?? createHttpConnectionPool(new URL(url).origin);
            clients.set(url, connections);
            return connections;
        },
        close: async () => {
            await Promise.all([...clients.values()].map(client => client.close()));
        },
    };
}
