#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript and need no compilation. Checks that Node.js can parse them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs trials/*.mjs; do
    node --check "$file"
done
