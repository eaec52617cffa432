#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
