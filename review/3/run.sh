#!/bin/sh
# Runs the case. TROUBLE=0 leaves the disruption out. Exit code: 1 a rule was broken, 0 it held, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in target/release/vanetallyd target/review/release/review-standin; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
timeout -k 5 115 target/review/release/review-standin late-order "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
