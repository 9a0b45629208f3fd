#!/bin/sh
# The stand-ins are plain JavaScript for Node.js without dependencies, so there is nothing to compile: this checks that all can be read.
set -eu
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do node --check "$file"; done
