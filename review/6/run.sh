#!/bin/bash
# A primary fails a part of its requests for 6.5 s.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-2/release/review-standins-2
for needed in "$program" target/release/mangotray-node; do
    [ -x "$needed" ] || { echo "$needed is missing" >&2; exit 2; }
done
"$program" pinned "$folder/record.txt" &
pid=$!
trap 'kill $(cat /proc/$pid/task/*/children 2>/dev/null) $pid; exit 2' INT TERM
wait $pid
