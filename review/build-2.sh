#!/bin/sh
# Builds the stand-ins of the second review into target/review-2, without the network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2021 -o target/review-2/cases review/stand_ins_2/main.rs
rustc -O --edition 2024 -o target/review-2/hot-keys review/stand_ins_3/main.rs
rustc -O --edition 2021 -o target/review-2/late-words review/stand_ins_4/main.rs
