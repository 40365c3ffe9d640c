#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start: Python, standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common2 6 7 8 9 10
