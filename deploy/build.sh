#!/bin/sh
# Builds the host program into target/. An unchanged tree is left as it is.
set -eu
if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
    npm ci --silent
fi
newest=$(find packages/*/src platform/src package-lock.json deploy/build.sh tsconfig.base.json -newer target/currantrill.mjs 2>/dev/null | head -n 1 || true)
is_whole() {
    for file in $(sed -n 's/.*"\.\/\([^"]*\.mjs\)".*/\1/p' target/currantrill.mjs); do
        [ -e "target/$file" ] || return 1
    done
}
if [ -e target/currantrill.mjs ] && [ -z "$newest" ] && is_whole; then
    exit 0
fi
npx tsc -b platform
mkdir -p target
rm -rf target/.new
# The entry point is a file of its own that loads the rest: it listens for signals before the rest has been parsed.
npx esbuild currantrill=platform/dist/main.js --bundle --splitting --platform=node --target=node20 --format=esm \
    --sourcemap --outdir=target/.new --out-extension:.js=.mjs --log-level=warning \
    --external:dtrace-provider --external:mv --external:source-map-support \
    --banner:js="import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);"
# The entry point comes last, so that an interrupted build does not leave one whose files are missing.
rm -f target/*.mjs target/*.mjs.map
mv target/.new/currantrill.mjs target/currantrill.mjs.new
mv target/.new/* target/
mv target/currantrill.mjs.new target/currantrill.mjs
rmdir target/.new
