#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 in
# the environment, which case.py reads through ../lib/harness.py, it plays without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 -B case.py
