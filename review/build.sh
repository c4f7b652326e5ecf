#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/rig/main.rs -o target/review/rig
