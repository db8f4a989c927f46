#!/bin/sh
# Builds the stand-ins of the review's scripts, without a network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
