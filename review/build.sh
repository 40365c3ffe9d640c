#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python modules that use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for file in review/lib/*.py review/[0-9]*/*.py; do
    python3 - "$file" <<'PY'
import sys
path = sys.argv[1]
compile(open(path, encoding="utf-8").read(), path, "exec")
PY
done
