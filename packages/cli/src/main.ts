#!/usr/bin/env node
/** The operator command. */
import { command, option, positional, run, string, subcommands } from "cmd-ts";
import { applyTicket } from "./commands/applyTicket.js";

const host = option({ long: "host", type: string, description: "operator address of any host, such as 10.0.0.1:7102" });
const key = option({ long: "key", type: string, description: "operator key" });

const apply = command({
    name: "apply",
    args: { host, key, file: positional({ type: string, displayName: "file" }) },
    handler: async args => {
        process.exitCode = await applyTicket(args);
    },
});

const ticket = subcommands({ name: "ticket", cmds: { apply } });

await run(subcommands({ name: "currantrill", cmds: { ticket } }), process.argv.slice(2));
