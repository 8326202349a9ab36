#!/usr/bin/env bash
# Builds the relay for deploy/system.toml: everything lands under target/ of the root.
set -euo pipefail
cd "$(dirname "$0")/.."

# The archive is valid only for the JDK that made it, so the build uses the one that runs the relay.
java=$(sed -n 's/^run = "\([^ ]*\).*/\1/p' deploy/system.toml)
if [ ! -x "$java" ]; then
  echo "deploy/system.toml: $java does not exist here; name the path of this machine's JDK 25 in 'run'" >&2
  exit 1
fi
JAVA_HOME=$(dirname "$(dirname "$java")")
export JAVA_HOME
mvn -B -ntp -q -Ddeploy -Dmaven.test.skip=true -Pdeploy -pl platform -am package

# Archives the classes that a relay loads when it starts and serves, so that a restarted VM serves sooner and takes less
# processor time.
"$JAVA_HOME/bin/java" -XX:ArchiveClassesAtExit=target/relay.jsa -Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -cp target/bluebellshunt-platform/bluebellshunt-platform-0.1.0.jar dev.bluebellshunt.platform.StartupTraining \
  >target/training.log 2>&1 || { cat target/training.log >&2; exit 1; }
[ -s target/relay.jsa ]
