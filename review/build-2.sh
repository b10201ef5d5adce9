#!/bin/bash
# Builds what the scripts of cases 4 to 6 start besides the programs of the deploy file. Their clients, runners and proxies are plain
# modules in review/lib-2 that Node runs as they are, so there is nothing to build; this only checks that they can be read.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib-2/*.mjs review/[456]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
