#!/bin/sh
# The stand-ins are plain modules that need no build; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
  node --check "$file"
done
