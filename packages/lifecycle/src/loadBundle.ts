/**
 * Loads a program that is bundled into one CommonJS file, with the code that the runtime has compiled from it before.
 * Compiling takes half of the processor time of a start, which a host with a fraction of a core waits for.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire, isBuiltin } from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

/** The runtime rejects compiled code of another version of itself, of other flags, or of another program. */
export type CodeCacheState = "used" | "rejected" | "absent";

export interface LoadedBundle {
    /** Exports of the bundle. */
    readonly exports: unknown;
    readonly codeCache: CodeCacheState;
}

const CODE_CACHE_SUFFIX = ".cache";

/** Loads the bundle at a path. Without usable compiled code it is compiled, which only takes longer. */
export function loadBundle(path: string): LoadedBundle {
    const cachedData = readCodeCache(path);
    const script = compileBundle(path, cachedData);
    return {
        exports: runBundle(script, path),
        codeCache: cachedData === undefined ? "absent" : script.cachedDataRejected === true ? "rejected" : "used",
    };
}

/**
 * Loads the bundle at a path and writes the code that this has compiled next to it. Must run with the flags of the runtime
 * with which the bundle is loaded later.
 */
export function createCodeCache(path: string): void {
    const script = compileBundle(path, undefined);
    runBundle(script, path);
    writeFileSync(`${path}${CODE_CACHE_SUFFIX}`, script.createCachedData());
}

function readCodeCache(path: string): Buffer | undefined {
    try {
        return readFileSync(`${path}${CODE_CACHE_SUFFIX}`);
    }
    catch {
        // Reported as absent, since there is no log yet.
        return undefined;
    }
}

/** The bundler writes ASCII, and Latin-1 keeps it in one byte a character. */
const compileBundle = (path: string, cachedData: Buffer | undefined): Script =>
    new Script(`(function (exports, require, module, __filename, __dirname) {${readFileSync(path, "latin1")}\n})`, {
        filename: path,
        ...(cachedData === undefined ? {} : { cachedData }),
    });

type BundleWrapper = (
    exports: unknown,
    require: NodeJS.Require,
    module: { readonly exports: unknown; },
    filename: string,
    directory: string,
) => void;

function runBundle(script: Script, path: string): unknown {
    const module = { exports: {} };
    const wrapper = script.runInThisContext() as BundleWrapper;
    wrapper(module.exports, createBuiltinRequire(path), module, path, dirname(path));
    return module.exports;
}

/**
 * Creates a `require` for the modules of the runtime. Optional packages that are not in the bundle count as not installed:
 * loading those that bunyan finds in `node_modules` takes longer than the whole bundle.
 */
function createBuiltinRequire(path: string): NodeJS.Require {
    const require = createRequire(path);
    const requireBuiltin = (id: string): unknown => {
        if (!isBuiltin(id)) {
            throw Object.assign(new Error(`module "${id}" is not part of the bundle`), { code: "MODULE_NOT_FOUND" });
        }
        return require(id);
    };
    return Object.assign(requireBuiltin, require);
}
