#!/usr/bin/env bash
# Runs on a developer's machine exactly what CI runs.
exec "$(dirname "$0")/.ci/run"
