#!/bin/sh
# Do reads with bounded staleness lack commits that were acknowledged longer ago than the bound, while
# the primary of a service without sync_replicas is down? 1: the rule was broken, 0: it held, 2: the
# case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/mangotray-node ] && [ -x target/review-3/release/unsynced_reads ] || exit 2
exec target/review-3/release/unsynced_reads "$here/record.txt"
