#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start: the program, as the deploy file says, and checks the stand-ins, which need no compilation.
set -euo pipefail
cd "$(dirname "$0")/.."
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
for file in review/lib-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
true
