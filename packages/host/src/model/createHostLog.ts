import type { HostSettings } from "@currantrill/settings";
import bunyan from "bunyan";

/** Lines are written together after this time, so that a request does not wait for a system call. */
const FLUSH_MS = 20;

/** Creates the log of a host, which writes to the standard output. */
export function createHostLog(settings: HostSettings): bunyan {
    return bunyan.createLogger({
        name: "currantrilld",
        host: settings.host_id,
        level: settings.log_level,
        stream: createBufferedOutput(process.stdout),
    });
}

/** Lines that wait at the end of the process are written then. */
function createBufferedOutput(output: NodeJS.WritableStream): NodeJS.WritableStream {
    let lines: string[] = [];
    let timer: NodeJS.Timeout | undefined;
    const flush = (): void => {
        timer = undefined;
        if (lines.length > 0) {
            output.write(lines.join(""));
            lines = [];
        }
    };
    process.once("exit", flush);
    const write = (line: string): boolean => {
        lines.push(line);
        timer ??= setTimeout(flush, FLUSH_MS);
        return true;
    };
    // A logger uses no other method of a stream.
    return { write } as unknown as NodeJS.WritableStream;
}
