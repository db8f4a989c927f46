#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-3 cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml
