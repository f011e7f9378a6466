#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-9
[ -x "$program" ] && [ -x target/bin/chervilfieldd ] || exit 2
timeout -k 5 110 "$program" &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' TERM INT
wait "$child"
status=$?
[ "$status" -le 2 ] && exit "$status"
exit 2
