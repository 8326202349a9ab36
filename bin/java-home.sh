# Sets JAVA_HOME to a JDK of at least 25: the one already set, else one found beside the default.
bluebellshunt_java_major() {
  "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1
}
bluebellshunt_find_java() {
  local candidate major
  for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/*25* /usr/lib/jvm/* /opt/*jdk* /Library/Java/JavaVirtualMachines/*/Contents/Home; do
    [ -x "$candidate/bin/javac" ] || continue
    major=$(bluebellshunt_java_major "$candidate")
    if [ "${major:-0}" -ge 25 ]; then
      export JAVA_HOME=$candidate
      return 0
    fi
  done
  echo "bluebellshunt: no JDK 25 found; install one or set JAVA_HOME to it" >&2
  return 1
}
bluebellshunt_find_java
