#!/bin/sh
# Are requests still run by the old service later than config_apply_ms after a route was moved, while
# reads with allow_stale are some seconds behind? 1: the rule was broken, 0: it held, 2: the case could
# not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/mangotray-node ] && [ -x target/review-3/release/stale_route ] || exit 2
exec target/review-3/release/stale_route "$here/record.txt"
