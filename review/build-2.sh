#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use nothing but Rust's standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --quiet \
    --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
