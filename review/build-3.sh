#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and up start. It needs no network: the
# stand-ins have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --locked --offline \
    --manifest-path review/stand-ins-3/Cargo.toml --target-dir target/review-3
