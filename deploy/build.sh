#!/usr/bin/env bash
# Builds the relay for deploy/system.toml: everything lands under target/ of the root.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/java-home.sh
mvn -B -ntp -q -DskipTests -Pdeploy -pl platform -am package
