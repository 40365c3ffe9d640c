#!/bin/bash
# Run case.py of a folder of review/ with the packages that the build of the deploy file made.
cd "$(dirname "$0")/../.."
export PYTHONPATH=src:.:target/deps:review/common3 PYTHONDONTWRITEBYTECODE=1 PYTHONUNBUFFERED=1
exec python3 "review/$1/case.py"
