#!/bin/bash
# Build the stand-ins of the cases 11 to 15. They are Python and need only the packages that the
# build of the deploy file puts into target/deps, so that compiling and importing them is all.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=src:.:target/deps:review/common3 PYTHONDONTWRITEBYTECODE=1
python3 -c "import lab, light_target, soak.store, soak.site, soak.target"
for file in review/common3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
