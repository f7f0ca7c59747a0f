/** Command line definition: commands, arguments and help texts. */
import { command, option, positional, restPositionals, runSafely, string, subcommands } from "cmd-ts";
import {
    hosts,
    json,
    key,
    nonNegativeInteger,
    optionalNumber,
    optionalText,
    settingsKind,
} from "../model/arguments.js";
import { exitCodes, type Report } from "../model/report.js";
import { checkFiles } from "./checkFiles.js";
import { describeDomains } from "./describeDomains.js";
import { listHosts } from "./listHosts.js";
import { reclaimEndpoint } from "./reclaimEndpoint.js";
import { applyTicketFile, describeTicketStatus, listTickets, planTicketFile } from "./runTicketCommands.js";
import { type SetDomainOptions, setDomainState } from "./setDomainState.js";
import { traceFiles } from "./traceFiles.js";

const DEFAULT_WAIT_SECONDS = 16;
const EXIT_CODES = "Exit codes: 0 done, 1 refused or conflict, 2 invalid input, 3 host or platform not reachable, "
    + "4 outcome unknown (send the same ticket again to find out).";

const hostOptions = { hosts, key, json };
const file = positional({ type: string, displayName: "file", description: "ticket in TOML" });
const waitSeconds = option({
    long: "wait-seconds",
    type: nonNegativeInteger,
    defaultValue: () => DEFAULT_WAIT_SECONDS,
    description: "longest wait until the ticket is in force on all live hosts; 0 does not wait",
});
const files = restPositionals({ type: string, displayName: "file", description: "files in TOML" });

/** Prints a report and sets the exit code of the process. */
function printReport(report: Report, args: { readonly json: boolean; }): void {
    const output = args.json ? JSON.stringify(report.data, undefined, 2) : report.text;
    (report.exitCode === 0 || args.json ? process.stdout : process.stderr).write(`${output}\n`);
    process.exitCode = report.exitCode;
}

const ticketCommands = {
    check: command({
        name: "check",
        description: "Check the form of tickets, without a host. Every finding names the file and the line.",
        args: { files, json },
        handler: args => printReport(checkFiles("ticket", args.files), args),
    }),
    plan: command({
        name: "plan",
        description: "Show what a ticket would change in what is in force, and change nothing.",
        args: { ...hostOptions, file },
        handler: async args => printReport(await planTicketFile(args, args.file), args),
    }),
    apply: command({
        name: "apply",
        description: `Apply a ticket as a whole, or not at all. ${EXIT_CODES}`,
        args: {
            ...hostOptions,
            file,
            waitSeconds,
        },
        handler: async args => printReport(await applyTicketFile(args, args.file), args),
    }),
    status: command({
        name: "status",
        description: "Show on which hosts a ticket is in force.",
        args: { ...hostOptions, ticket: positional({ type: nonNegativeInteger, displayName: "number" }) },
        handler: async args => printReport(await describeTicketStatus(args, args.ticket), args),
    }),
    history: command({
        name: "history",
        description: "List the newest tickets.",
        args: {
            ...hostOptions,
            limit: option({
                long: "limit",
                type: nonNegativeInteger,
                defaultValue: () => 20,
                description: "tickets to list, at most 200",
            }),
        },
        handler: async args => printReport(await listTickets(args, args.limit), args),
    }),
};

const reclaim = command({
    name: "reclaim",
    description: "Stop new work on an endpoint at once on every reachable host, and record it with a ticket.",
    args: {
        ...hostOptions,
        endpoint: positional({ type: string, displayName: "endpoint" }),
        reason: option({ long: "reason", type: string, description: "kept with the stop and in the ticket's summary" }),
        ticket: option({
            long: "ticket",
            type: optionalNumber,
            description: "number of the ticket that makes the reclaim permanent",
        }),
    },
    handler: async args => printReport(await reclaimEndpoint(args), args),
});

/** Creates the command that sets the state of a failure domain. */
const createDomainCommand = (name: string, state: SetDomainOptions["state"], description: string) =>
    command({
        name,
        description: `${description} Reports accepted, refused or unknown; repeating it is harmless. ${EXIT_CODES}`,
        args: {
            ...hostOptions,
            domain: positional({ type: string, displayName: "name" }),
            reason: option({ long: "reason", type: optionalText, description: "kept in the ticket's summary" }),
            ticket: option({
                long: "ticket",
                type: optionalNumber,
                description: "number for the ticket; the next free one by default",
            }),
            waitSeconds,
        },
        handler: async args => printReport(await setDomainState({ ...args, state }), args),
    });

const domainCommands = {
    evacuate: createDomainCommand(
        "evacuate",
        "evacuated",
        "Send no new work to the endpoints of a failure domain, by a ticket. Work in progress finishes there.",
    ),
    return: createDomainCommand("return", "in_service", "Return an evacuated failure domain to service, by a ticket."),
    status: command({
        name: "status",
        description: "Show the state of the failure domains, and the hosts on which it is not in force.",
        args: hostOptions,
        handler: async args => printReport(await describeDomains(args), args),
    }),
};

const application = subcommands({
    name: "currantrill",
    description: `Operate a currantrill deployment. ${EXIT_CODES}`,
    cmds: {
        ticket: subcommands({
            name: "ticket",
            description: "Check, plan and apply change tickets, and see what became of them.",
            cmds: ticketCommands,
        }),
        settings: subcommands({
            name: "settings",
            description: "Host settings.",
            cmds: {
                check: command({
                    name: "check",
                    description: "Check host settings. Every finding names the file and the line.",
                    args: { files, json, kind: settingsKind },
                    handler: args => printReport(checkFiles(args.kind, args.files), args),
                }),
            },
        }),
        trace: command({
            name: "trace",
            description: "Print what all hosts logged of a forwarded request and of its endpoints, in order of time.",
            args: {
                request: positional({ type: string, displayName: "request-id" }),
                files: restPositionals({ type: string, displayName: "file", description: "log files of the hosts" }),
                json,
            },
            handler: args => printReport(traceFiles(args.request, args.files), args),
        }),
        domain: subcommands({
            name: "domain",
            description: "Evacuate failure domains and return them to service.",
            cmds: domainCommands,
        }),
        endpoint: subcommands({ name: "endpoint", description: "Borrowed endpoints.", cmds: { reclaim } }),
        hosts: command({
            name: "hosts",
            description: "List the hosts with their state and configuration revision.",
            args: hostOptions,
            handler: async args => printReport(await listHosts(args), args),
        }),
    },
});

/** Error with which the argument parser exits, such as for `--help` or invalid arguments. */
interface ParserExit {
    readonly config: { readonly exitCode: number; readonly message: string; };
}

/** Parses the arguments and runs the selected command. Prints its result and sets the exit code of the process. */
export async function runApplication(args: readonly string[]): Promise<void> {
    const result = await runSafely(application, [...args]);
    if (result._tag === "error") {
        const { exitCode, message } = (result.error as unknown as ParserExit).config;
        (exitCode === 0 ? process.stdout : process.stderr).write(`${message}\n`);
        process.exitCode = exitCode === 0 ? exitCodes.done : exitCodes.invalid;
    }
}
