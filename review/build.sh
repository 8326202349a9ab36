#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
# The JDK of the deploy file, as in deploy/build.sh.
java=$(sed -n 's/^run = "\([^ ]*\).*/\1/p' deploy/system.toml)
jdk=$(dirname "$(dirname "$java")")
mkdir -p target/review
"$jdk/bin/javac" -d target/review -cp 'target/bluebellshunt-platform/lib/*' review/standin/*.java
