#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
# They use the standard library only, so no package is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standin-2/main.rust
