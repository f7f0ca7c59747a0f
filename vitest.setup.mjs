/** Passes over the tests that KNOWN-RED.txt lists with `vitest run FILE -t "NAME"`. KNOWN_RED=run runs them. */
import { readFileSync } from "node:fs";
import { beforeEach } from "vitest";

const ENTRY = /^vitest run (\S+) -t "([^"]+)"/;

const entries = readFileSync(new URL("KNOWN-RED.txt", import.meta.url), "utf8")
    .split("\n")
    .flatMap(line => {
        const [, file, name] = ENTRY.exec(line) ?? [];
        return file === undefined ? [] : [{ file, name }];
    });

beforeEach(({ task, skip }) => {
    const isListed = entries.some(({ file, name }) => task.file.filepath.endsWith(file) && task.name.includes(name));
    if (isListed && process.env.KNOWN_RED !== "run") {
        skip("listed in KNOWN-RED.txt");
    }
});
