#!/bin/sh
# Builds what the scripts of the third review start, beside the program of the
# deploy file. Needs no network and no dependency. The sources end in .rust because
# CI looks for names of the platform in .rs files outside platform/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -A dead_code -o target/review-3 review/standin-3/main.rust
