#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain Node.js modules in lib-2, which need no build. This checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs 10/run.mjs; do
    node --check "$file"
done
