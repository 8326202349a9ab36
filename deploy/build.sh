#!/usr/bin/env bash
# Builds the relay for deploy/system.toml: everything lands under target/ of the root.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/java-home.sh
mvn -B -ntp -q -Ddeploy -Dmaven.test.skip=true -Pdeploy -pl platform -am package

# Archives the classes that a start loads, so that a restarted VM serves sooner. The process starts against
# a store that does not answer, and is stopped again.
program=target/bluebellshunt-platform
training=target/training
mkdir -p "$training"
cat >"$training/settings.json" <<'JSON'
{"node-name":"training","ip":"127.0.0.1","zone":"z","internal-ports":[0],"heartbeat-ms":1200,
 "listen":{"front":"127.0.0.1:0","ready":"127.0.0.1:0"},
 "bounds":{"retry-ratio":0.2,"retry-window-s":10,"retry-extra":50,"quota-window-s":8,"revoke-ms":5000,
  "version-ms":8000,"lease-ms":3000,"grace-s":2},
 "platform":{"address":"127.0.0.1:9"}}
JSON
BLUEBELLSHUNT_CONFIG="$training/settings.json" "$JAVA_HOME/bin/java" -XX:ArchiveClassesAtExit=target/relay.jsa \
  -Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -jar "$program/bluebellshunt-platform-0.1.0.jar" \
  >"$training/log" 2>&1 &
process=$!
for _ in $(seq 120); do
  grep -q 'serves callers' "$training/log" && break
  sleep 0.5
done
sleep 1
kill -TERM "$process"
wait "$process" || true
[ -s target/relay.jsa ]
