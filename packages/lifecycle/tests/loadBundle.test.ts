import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createCodeCache, loadBundle } from "../src/loadBundle.js";

const program = "const { sep } = require('node:path'); exports.getSeparator = () => sep; exports.file = __filename;";

describe("loadBundle", () => {
    let path = "";
    beforeEach(() => {
        path = join(mkdtempSync(join(tmpdir(), "bundle-")), "host.cjs");
        writeFileSync(path, program);
    });
    afterEach(() => rmSync(join(path, ".."), { recursive: true }));

    // Guards against a host that does not start because compiled code is missing, or belongs to another runtime or build.
    it.each([
        { name: "with its compiled code", prepare: () => createCodeCache(path), codeCache: "used" },
        { name: "without compiled code", prepare: () => undefined, codeCache: "absent" },
        {
            name: "with the compiled code of another program",
            prepare: () => {
                createCodeCache(path);
                writeFileSync(path, `${program} exports.version = 2;`);
            },
            codeCache: "rejected",
        },
        {
            name: "with compiled code that was cut short",
            prepare: () => writeFileSync(`${path}.cache`, Buffer.alloc(40)),
            codeCache: "rejected",
        },
        { name: "with an empty file", prepare: () => writeFileSync(`${path}.cache`, ""), codeCache: "rejected" },
    ])("loads a program $name", ({ prepare, codeCache }) => {
        prepare();
        const loaded = loadBundle(path);
        expect(loaded.codeCache).toBe(codeCache);
        const exports = loaded.exports as { getSeparator: () => string; file: string; };
        expect(exports.getSeparator()).toBe("/");
        expect(exports.file).toBe(path);
    });
    // Guards against a start that loads optional packages from wherever the program was built.
    it("treats packages that are not in the bundle as not installed", () => {
        writeFileSync(
            path,
            "try { require('vitest'); exports.code = 'found'; } catch (error) { exports.code = error.code; }",
        );
        expect(loadBundle(path).exports).toEqual({ code: "MODULE_NOT_FOUND" });
    });
});
