#!/bin/sh
# Exits with 1 if requests stay without an answer past the timeout of their route, with 0 if not, with 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
