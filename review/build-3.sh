#!/bin/sh
# Builds the stand-ins that the scripts of review/7 to review/11 start. Needs no network: the packages
# are among those of the deploy file's build, in the same versions.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
