#!/usr/bin/env bash
# Runs a case: run.sh CLASS RECORD, the latter from the root of the project. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
java=$(sed -n 's/^run = "\([^ ]*\).*/\1/p' deploy/system.toml)
if [ ! -f "target/review-2/$1.class" ] || [ ! -f target/relay.jsa ]; then
  echo "run deploy/build.sh and review/build-2.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
"$java" -Xmx256m -cp target/review-2 "$1" "$PWD" "$2" "$temporary"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
