#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand review/stand-3/main.rs
