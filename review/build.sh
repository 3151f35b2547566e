#!/usr/bin/env bash
# Build what the scripts start, after the build of the deploy file. The
# stand-ins are Python files; compiling them shows that they load here.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.
python3 -m compileall -q stand_ins review
python3 -c "import review.support.harness, stand_ins.store"
