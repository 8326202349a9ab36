#!/usr/bin/env bash
# Builds the relay for deploy/system.toml: everything lands under target/ of the root.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/java-home.sh
mvn -B -ntp -q -Ddeploy -Dmaven.test.skip=true -Pdeploy -pl platform -am package

# Archives the classes that a relay loads when it starts and serves, so that a restarted VM serves sooner and takes less
# processor time.
"$JAVA_HOME/bin/java" -XX:ArchiveClassesAtExit=target/relay.jsa -Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -cp target/bluebellshunt-platform/bluebellshunt-platform-0.1.0.jar dev.bluebellshunt.platform.StartupTraining \
  >target/training.log 2>&1 || { cat target/training.log >&2; exit 1; }
[ -s target/relay.jsa ]
