#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. They need the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand_ins_2.new review/stand_ins_2/main.rs
mv target/review-2/stand_ins_2.new target/review-2/stand_ins_2
