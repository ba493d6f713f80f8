#!/bin/sh
# Builds the stand-ins of all cases. They use the standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review
rustc --edition 2024 -O review/stand_ins/main.rs -o target/review/review-case
