#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
exec timeout -k 5 115 node "$(dirname "$0")/run.mjs"
