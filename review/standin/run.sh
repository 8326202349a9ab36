#!/usr/bin/env bash
# Runs a case: run.sh HEAP CLASS ARGUMENT... Exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
java=$(sed -n 's/^run = "\([^ ]*\).*/\1/p' deploy/system.toml)
[ -x "$java" ] && [ -d target/review ] || exit 2
heap=$1
shift
"$java" "-Xmx$heap" -Xss512k -cp 'target/review:target/bluebellshunt-platform/lib/*' "$@"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
