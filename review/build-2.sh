#!/usr/bin/env bash
# Build the stand-ins of cases 6 to 10; they are Python and need no library
# but those that the build line of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q stand_ins review/support-2
PYTHONPATH="target/deps:.:review/support-2" python3 -B -c "import frame"
