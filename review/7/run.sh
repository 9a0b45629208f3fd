#!/bin/sh
# Exits with 1 if an engine is ordered to load more than its memory holds, with 0 if not, with 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
