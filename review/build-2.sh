#!/usr/bin/env bash
# After the build of the deploy file: builds the stand-ins of review/6 to 9, the
# project's own among them.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q --invalidation-mode checked-hash \
  primroserudder review
