#!/usr/bin/env bash
# Plays the case and writes record.txt beside this script. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0
# leaves the disruption out. SEED=N draws the clients' choices from N.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review-3/case-15
[ -x "$program" ] && [ -x target/src/teaselthread/teaselthread ] || exit 2
timeout --kill-after=3 115 "$program" review/15/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
