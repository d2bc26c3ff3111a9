#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline \
    --manifest-path review/stand-ins/Cargo.toml
