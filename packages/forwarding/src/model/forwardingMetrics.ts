/** Metrics of a forwarding host. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const DURATION_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2.5, 5, 10, 15, 30];

export interface ForwardingMetrics {
    readonly registry: Registry;
    readonly requests: Counter<"kind" | "outcome">;
    readonly requestSeconds: Histogram<"kind">;
    readonly firstEventSeconds: Histogram<"route">;
    readonly attempts: Counter<"outcome">;
    readonly connections: Counter;
    readonly storeCalls: Counter<"operation" | "outcome">;
    readonly reservations: Counter<"outcome">;
    readonly datagrams: Counter<"direction">;
    readonly placementQueries: Counter<"outcome">;
    readonly permits: Counter<"outcome">;
    readonly tableFetches: Counter<"outcome">;
    readonly tableBehindSeconds: Gauge<"table">;
    readonly relayedConnections: Counter<"role" | "outcome">;
    readonly detouredEndpoints: Gauge;
    readonly crashReports: Counter<"state">;
    readonly isolatedParts: Gauge;
    readonly isolatedRequests: Gauge;
    readonly inFlight: Gauge;
    readonly unansweredRequests: Counter<"phase" | "cause">;
    readonly unexpectedErrors: Counter;
    readonly excessConnections: Counter;
    readonly callerBudgetEvents: Counter<"event" | "cause">;
    readonly callerBytes: Gauge<"kind">;
    readonly memory: Gauge<"kind">;
    readonly loopDelaySeconds: Gauge;
    readonly configurationVersion: Gauge;
    readonly evacuatedDomains: Gauge;
    readonly evacuationRequests: Counter<"outcome">;
    readonly endpoints: Gauge<"state">;
    readonly peers: Gauge;
}

/** Creates the metrics in a new registry. */
export function createForwardingMetrics(): ForwardingMetrics {
    const registry = new Registry();
    const registers = [registry];
    return {
        registry,
        ...createRequestMetrics(registers),
        storeCalls: new Counter({
            name: "currantrill_store_calls_total",
            help: "Calls to the store by operation and outcome.",
            labelNames: ["operation", "outcome"],
            registers,
        }),
        reservations: new Counter({
            name: "currantrill_reservations_total",
            help: "Memory reservations at endpoints by outcome.",
            labelNames: ["outcome"],
            registers,
        }),
        crashReports: new Counter({
            name: "currantrill_crashed_prompts_total",
            help: "Requests without an answer on endpoints that crashed, by whether the response had begun.",
            labelNames: ["state"],
            registers,
        }),
        isolatedParts: new Gauge({
            name: "currantrill_isolated_parts",
            help: "Parts of prompts that crash endpoints; prompts with them are refused.",
            registers,
        }),
        isolatedRequests: new Gauge({
            name: "currantrill_isolated_requests",
            help: "Requests that crash endpoints, and are refused when they come again.",
            registers,
        }),
        inFlight: new Gauge({ name: "currantrill_forwarded_in_flight", help: "Requests in flight.", registers }),
        configurationVersion: new Gauge({
            name: "currantrill_serving_configuration_version",
            help: "Version of the configuration in force.",
            registers,
        }),
        endpoints: new Gauge({
            name: "currantrill_endpoints",
            help: "Endpoints by state.",
            labelNames: ["state"],
            registers,
        }),
        ...createEvacuationMetrics(registers),
        ...createProcessMetrics(registers),
        ...createPeerMetrics(registers),
    };
}

/** Creates the metrics of requests and their attempts. */
const createRequestMetrics = (
    registers: Registry[],
): Pick<
    ForwardingMetrics,
    "requests" | "requestSeconds" | "firstEventSeconds" | "unansweredRequests" | "attempts" | "connections"
> => ({
    requests: new Counter({
        name: "currantrill_forwarded_requests_total",
        help: "Requests by kind and outcome.",
        labelNames: ["kind", "outcome"],
        registers,
    }),
    requestSeconds: new Histogram({
        name: "currantrill_forwarded_request_seconds",
        help: "Time from a request to its end.",
        labelNames: ["kind"],
        buckets: DURATION_BUCKETS_SECONDS,
        registers,
    }),
    firstEventSeconds: new Histogram({
        name: "currantrill_first_event_seconds",
        help: "Time from a streaming request to its first event.",
        labelNames: ["route"],
        buckets: DURATION_BUCKETS_SECONDS,
        registers,
    }),
    unansweredRequests: new Counter({
        name: "currantrill_unanswered_requests_total",
        help:
            "Requests whose connection closed before their response had been sent in full, by where they were and why.",
        labelNames: ["phase", "cause"],
        registers,
    }),
    attempts: new Counter({
        name: "currantrill_attempts_total",
        help: "Sends of requests to endpoints by outcome.",
        labelNames: ["outcome"],
        registers,
    }),
    connections: new Counter({
        name: "currantrill_endpoint_connections_total",
        help: "Connections opened to endpoints.",
        registers,
    }),
});

/** Creates the metrics of evacuations. */
const createEvacuationMetrics = (
    registers: Registry[],
): Pick<ForwardingMetrics, "evacuatedDomains" | "evacuationRequests"> => ({
    evacuatedDomains: new Gauge({
        name: "currantrill_evacuated_domains",
        help: "Failure domains to whose endpoints nothing is sent.",
        registers,
    }),
    evacuationRequests: new Counter({
        name: "currantrill_evacuation_requests_total",
        help:
            "Attempts that went to another domain because the host's own is evacuated (moved), and attempts that were "
            + "not sent because the domain of an endpoint had been evacuated since the decision (stopped).",
        labelNames: ["outcome"],
        registers,
    }),
});

/** Creates the metrics of the process. */
function createProcessMetrics(
    registers: Registry[],
): Pick<
    ForwardingMetrics,
    "unexpectedErrors" | "excessConnections" | "callerBudgetEvents" | "callerBytes" | "memory" | "loopDelaySeconds"
> {
    return {
        unexpectedErrors: new Counter({
            name: "currantrill_unexpected_errors_total",
            help: "Errors that no component has handled.",
            registers,
        }),
        excessConnections: new Counter({
            name: "currantrill_excess_connections_total",
            help: "Connections beyond the limit of a server, by server and what became of them.",
            labelNames: ["server", "event"],
            registers,
        }),
        callerBudgetEvents: new Counter({
            name: "currantrill_caller_budget_total",
            help:
                "Connections closed and requests refused because callers make the host hold too much, by what was needed.",
            labelNames: ["event", "cause"],
            registers,
        }),
        callerBytes: new Gauge({
            name: "currantrill_caller_bytes",
            help: "Memory that callers make the host hold, by kind.",
            labelNames: ["kind"],
            registers,
        }),
        memory: new Gauge({
            name: "currantrill_memory_bytes",
            help: "Memory of the process (rss), used heap (heap), and size at which the runtime ends it (heap_limit).",
            labelNames: ["kind"],
            registers,
        }),
        loopDelaySeconds: new Gauge({
            name: "currantrill_loop_delay_seconds",
            help: "Longest time in the last report in which the process handled nothing else.",
            registers,
        }),
    };
}

/** Creates the metrics of the exchange with other hosts. */
function createPeerMetrics(
    registers: Registry[],
): Pick<
    ForwardingMetrics,
    | "datagrams"
    | "placementQueries"
    | "permits"
    | "tableFetches"
    | "tableBehindSeconds"
    | "relayedConnections"
    | "detouredEndpoints"
    | "peers"
> {
    return {
        datagrams: new Counter({
            name: "currantrill_peer_datagrams_total",
            help: "Datagrams between hosts.",
            labelNames: ["direction"],
            registers,
        }),
        placementQueries: new Counter({
            name: "currantrill_placement_queries_total",
            help: "Questions to coordinators by outcome.",
            labelNames: ["outcome"],
            registers,
        }),
        permits: new Counter({
            name: "currantrill_permits_total",
            help: "Permits for requests to endpoints that name a rate limit, by outcome.",
            labelNames: ["outcome"],
            registers,
        }),
        tableFetches: new Counter({
            name: "currantrill_table_fetches_total",
            help: "Copies of tables from other hosts by outcome.",
            labelNames: ["outcome"],
            registers,
        }),
        relayedConnections: new Counter({
            name: "currantrill_relayed_connections_total",
            help: "Connections to endpoints that this host has opened through peers, or served for peers, by outcome.",
            labelNames: ["role", "outcome"],
            registers,
        }),
        detouredEndpoints: new Gauge({
            name: "currantrill_detoured_endpoints",
            help: "Endpoints that this host reaches only through peers.",
            registers,
        }),
        tableBehindSeconds: new Gauge({
            name: "currantrill_table_behind_seconds",
            help: "Time for which peers have known of a change of a table that this host does not have.",
            labelNames: ["table"],
            registers,
        }),
        peers: new Gauge({ name: "currantrill_peers", help: "Hosts heard within the last seconds.", registers }),
    };
}
