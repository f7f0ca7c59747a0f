/** Prometheus metrics of a host, in the registry that `/metrics` serves. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const FIRST_TOKEN_BUCKETS_SECONDS = [0.01, 0.05, 0.1, 0.25, 0.5, 0.68, 1, 2.5, 5, 10, 30, 60, 300];
/** Ratios of the time to first token to the prefill time on an idle engine. */
const SLOWDOWN_BUCKETS = [1, 1.1, 1.25, 1.5, 2, 3, 5, 10, 30, 100];

/** The metrics that a host updates itself. */
export interface HostMetrics {
    readonly registry: Registry;
    readonly firstTokenSeconds: Histogram<"length_class">;
    /** Time to first token divided by the prefill time on an idle engine. */
    readonly slowdown: Histogram<"length_class">;
    readonly retries: Counter<"reason">;
    readonly queueLength: Gauge<"length_class">;
    readonly reclaimAgeSeconds: Gauge;
    readonly requests: Counter<"outcome" | "code">;
    readonly inFlight: Gauge;
    readonly configurationRevision: Gauge;
    readonly evacuatedDomains: Gauge;
    readonly confirmationAgeSeconds: Gauge;
    readonly controlMessages: Counter<"direction" | "type">;
    readonly controlBytes: Counter<"direction" | "type">;
    readonly platformRequests: Counter<"use" | "operation">;
}

/** Creates the metrics in a separate registry, so that several hosts can run in one process. */
export function createHostMetrics(): HostMetrics {
    const registry = new Registry();
    const registers = [registry];
    return {
        registry,
        firstTokenSeconds: new Histogram({
            name: "currantrill_first_token_seconds",
            help: "Time from the request to its first token.",
            labelNames: ["length_class"],
            buckets: FIRST_TOKEN_BUCKETS_SECONDS,
            registers,
        }),
        slowdown: new Histogram({
            name: "currantrill_first_token_slowdown",
            help: "Time to first token divided by the prefill time on an idle engine.",
            labelNames: ["length_class"],
            buckets: SLOWDOWN_BUCKETS,
            registers,
        }),
        retries: new Counter({
            name: "currantrill_retries_total",
            help: "Retries by what made them necessary.",
            labelNames: ["reason"],
            registers,
        }),
        queueLength: new Gauge({
            name: "currantrill_queue_length",
            help: "Prompts that wait at this host, by length class.",
            labelNames: ["length_class"],
            registers,
        }),
        reclaimAgeSeconds: new Gauge({
            name: "currantrill_reclaim_age_seconds",
            help: "Time since the oldest reclaim with work of this host still in flight.",
            registers,
        }),
        requests: new Counter({
            name: "currantrill_requests_total",
            help: "Requests by outcome and error code.",
            labelNames: ["outcome", "code"],
            registers,
        }),
        inFlight: new Gauge({ name: "currantrill_requests_in_flight", help: "Requests in flight.", registers }),
        configurationRevision: new Gauge({
            name: "currantrill_configuration_revision",
            help: "Revision of the configuration in force on this host.",
            registers,
        }),
        evacuatedDomains: new Gauge({
            name: "currantrill_evacuated_domains",
            help: "Failure domains that this host sends no new work to.",
            registers,
        }),
        confirmationAgeSeconds: new Gauge({
            name: "currantrill_configuration_confirmation_age_seconds",
            help: "Time since the platform read that last confirmed the configuration.",
            registers,
        }),
        controlMessages: new Counter({
            name: "currantrill_control_messages_total",
            help: "Messages between hosts by direction and type.",
            labelNames: ["direction", "type"],
            registers,
        }),
        controlBytes: new Counter({
            name: "currantrill_control_bytes_total",
            help: "Bytes of messages between hosts by direction and type.",
            labelNames: ["direction", "type"],
            registers,
        }),
        platformRequests: new Counter({
            name: "currantrill_platform_requests_total",
            help: "Requests to the platform by use and operation.",
            labelNames: ["use", "operation"],
            registers,
        }),
    };
}
