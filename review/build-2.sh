#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6/ to review/10/ into target/review-2/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/stand-2/main.rs
