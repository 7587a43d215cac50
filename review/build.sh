#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; run in the repository's root or anywhere.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/platform/main.rs
