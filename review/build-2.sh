#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 and later start. They use the standard library
# only; the gateways come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/driver review/standins-2/main.rs
