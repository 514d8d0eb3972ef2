#!/bin/sh
# Builds the stand-ins of review/6 to review/10 with the toolchain alone. Run it after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/standin
