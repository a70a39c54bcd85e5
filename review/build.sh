#!/bin/bash
# Builds the stand-ins of the cases: one program, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
