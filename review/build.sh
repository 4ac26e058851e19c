#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in grey_server late_birth; do
  rustc --edition 2024 -O -o "target/review/$program" "review/standins/$program.rs"
done
