#!/bin/sh
# Builds the stand-ins of the cases.  They are Python and use the standard library, the project's own
# modules and nothing else, so compiling them in the environment of the deploy file's build is all.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build line of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review
