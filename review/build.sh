#!/bin/sh
# Builds the stand-ins of all scripts of the review.
set -e
cd "$(dirname "$0")/standin"
cargo build --release --offline --target-dir ../../target/review
