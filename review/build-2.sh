#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.  They are Python programs of the standard library alone, so that
# there is nothing to compile or install: this checks that they can be read by the Python of this machine.
cd "$(dirname "$0")" && exec python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in [pathlib.Path("common-2/standins.py"), *sorted(pathlib.Path().glob("*/case.py"))]:
    ast.parse(path.read_text(), str(path))
PY
