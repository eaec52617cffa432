#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use the standard library only, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --offline --manifest-path standin/Cargo.toml --target-dir ../target/review
