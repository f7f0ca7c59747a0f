import { requestJson } from "@currantrill/http";
import { readFileSync } from "node:fs";

export interface ApplyTicketOptions {
    /** Operator address of any host. */
    readonly host: string;
    readonly key: string;
    readonly file: string;
}

/** Sends a ticket to a host and returns the exit code. */
export async function applyTicket(options: ApplyTicketOptions): Promise<number> {
    const response = await requestJson(`http://${options.host}/admin/tickets`, {
        method: "POST",
        headers: { authorization: `Bearer ${options.key}` },
        body: { text: readFileSync(options.file, "utf8"), source: options.file },
    });
    process.stdout.write(`${JSON.stringify(response.body)}\n`);
    return response.status === 200 ? 0 : 1;
}
