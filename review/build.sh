#!/usr/bin/env bash
# Builds the stand-ins of the review's cases: standard library only, no package.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/stand_ins/main.rs -o target/review/stand-ins
