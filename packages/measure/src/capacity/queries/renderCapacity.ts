import type { FunctionTime } from "../commands/measureCoreFunctions.js";
import type { HostSample, SizeSample } from "../model/sample.js";
import { target } from "../model/target.js";
import { computeTarget, computeTargetTicketMs } from "./computeTarget.js";

const format = (value: number, digits = 1): string => value.toFixed(digits);

const renderRow = (name: string, sample: HostSample): string =>
    `| ${name} | ${format(sample.bytes / 1_000, 2)} | ${format(sample.messages)} | ${format(sample.processor, 2)} | ${
        format(sample.megabytes)
    } |`;

/** Renders the measurements of each size, the extrapolation to the target size and the budgets. */
export function renderCapacity(samples: readonly SizeSample[]): string {
    const rows = samples.flatMap(({ hosts, before, after }) =>
        [before, after].flatMap(window => {
            const size = `${hosts} hosts, ${window.endpointsPerDomain * window.domains} endpoints`;
            return [
                renderRow(`measured: ${size}, mean`, window.mean),
                renderRow(`measured: ${size}, largest`, window.largest),
            ];
        })
    );
    const { budgets } = target;
    const size = `${target.hosts} hosts, ${target.endpoints} endpoints`;
    return [
        "| per host | KB/s sent and received | messages/s | % of a core | MB |",
        "| --- | --- | --- | --- | --- |",
        ...rows,
        renderRow(`calculated: ${size}, mean`, computeTarget(samples, "mean")),
        renderRow(`calculated: ${size}, largest`, computeTarget(samples, "largest")),
        `| budget | ${budgets.bytes / 1_000} | - | ${budgets.processor} | ${budgets.megabytes} |`,
        "",
        "| ticket in force on all hosts | ms |",
        "| --- | --- |",
        ...samples.map(({ hosts, ticketMs }) => `| measured: ${hosts} hosts | ${format(ticketMs, 0)} |`),
        `| calculated: ${target.hosts} hosts | ${format(computeTargetTicketMs(samples), 0)} |`,
        `| budget | ${budgets.ticketMs} |`,
    ].join("\n");
}

export function renderFunctionTimes(times: readonly FunctionTime[]): string {
    return [
        "| measured: function | size | median µs |",
        "| --- | --- | --- |",
        ...times.map(({ name, size, microseconds }) => `| ${name} | ${size} | ${format(microseconds)} |`),
    ].join("\n");
}
