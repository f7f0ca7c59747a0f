#!/bin/sh
# Builds the host program into target/. An unchanged tree is left as it is.
set -eu
if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
    npm ci --silent
fi
program=target/currantrill.mjs
sources="packages/*/src platform/src package-lock.json deploy/build.sh deploy/system.toml tsconfig.base.json"
# shellcheck disable=SC2086 # the patterns are expanded here
newest=$(find $sources -newer "$program" 2>/dev/null | head -n 1 || true)
if [ -e "$program" ] && [ -e target/host.cjs ] && [ -e target/host.cjs.cache ] && [ -z "$newest" ]; then
    exit 0
fi
npx tsc -b platform
mkdir -p target
rm -rf target/.new
bundle() {
    npx esbuild "$1" --bundle --platform=node --target=node20 "--format=$2" "--outfile=target/.new/$3" --sourcemap --minify-whitespace \
        --log-level=warning --external:dtrace-provider --external:mv --external:source-map-support
}
# The entry point is a file of its own that loads the rest: it listens for signals before the rest has been loaded.
bundle platform/dist/main.js esm currantrill.mjs
bundle platform/dist/commands/runHost.js cjs host.cjs
# The runtime accepts compiled code only with the flags with which it was compiled.
flags=$(sed -n 's/^run = "node \(.*\) *target\/currantrill.mjs"$/\1/p' deploy/system.toml)
# shellcheck disable=SC2086 # one word a flag
node $flags platform/dist/createCodeCache.js target/.new/host.cjs
# The entry point comes last, so that an interrupted build does not leave one whose files are missing.
rm -f target/*.mjs target/*.mjs.map target/host.cjs*
mv target/.new/currantrill.mjs target/currantrill.mjs.new
mv target/.new/* target/
mv target/currantrill.mjs.new "$program"
rmdir target/.new
