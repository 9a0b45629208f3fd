#!/bin/sh
# Exits with 1 if requests that were passed on are cut without an answer, since a process ends by itself, with 0 if not, with 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
