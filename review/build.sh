#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are in Python, from the standard library only
# (review/lib/harness.py), so nothing has to be compiled; the project's own stand-ins are not used.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import ast, glob
for path in glob.glob("lib/*.py") + glob.glob("*/case.py"):
    ast.parse(open(path, encoding="utf-8").read(), path)'
