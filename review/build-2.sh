#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 and of the trials start. Their stand-ins are JavaScript modules, which need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib-2/*.mjs {6,7,8,9,10}/*.mjs trials-2/*/*.mjs; do
    node --check "$module"
done
