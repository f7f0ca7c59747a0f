#!/bin/sh
# The stand-ins of the scripts are plain modules and need no build; their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-9]/*.mjs; do
    node --check "$file"
done
