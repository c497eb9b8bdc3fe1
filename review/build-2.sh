#!/bin/sh
# Builds the stand-ins of all scripts of the second review. The build is offline; packages that are not on the machine yet are
# fetched first, which needs the registry once.
set -e
cd "$(dirname "$0")"
for package in standin-2 standin-3; do
    (
        cd "$package"
        cargo fetch --locked --offline >/dev/null 2>&1 || cargo fetch --locked
        cargo build --release --locked --offline --target-dir ../../target/review-2
    )
done
