#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. It needs nothing but the Rust toolchain.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
exec cargo build --release --locked --offline
