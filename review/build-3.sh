#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 and later. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand_ins_4 review/stand_ins_4/main.rs
