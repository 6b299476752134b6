#!/bin/sh
# Builds the stand-ins that the scripts start; they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/standin review/standin.rust
