#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs no network once the repository itself was built.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir review/target
