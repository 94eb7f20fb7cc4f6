#!/bin/bash
# Builds the stand-ins of review/4 to review/6, without a network; run it after the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
