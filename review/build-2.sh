#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the JDK that the deploy file names. They use no library.
set -euo pipefail
cd "$(dirname "$0")/.."
java=$(sed -n 's/^run = "\([^ ]*\).*/\1/p' deploy/system.toml)
rm -rf target/review-2
mkdir -p target/review-2
"$(dirname "$java")/javac" -d target/review-2 review/standin-2/src/*.java
