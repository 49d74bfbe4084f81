#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They need the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
