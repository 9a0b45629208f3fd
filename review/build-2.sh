#!/bin/sh
# The stand-ins are plain JavaScript for Node.js without dependencies, so there is nothing to compile: this checks that all can be read.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
