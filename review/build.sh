#!/usr/bin/env bash
# Builds the stand-ins of the cases: the project's own and those in review/.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -m compileall -q \
  --invalidation-mode checked-hash primroserudder review
