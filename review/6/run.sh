#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.  TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
python=../../.venv/bin/python
test -x "$python" || python=python3
exec "$python" case.py
