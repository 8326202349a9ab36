package review;

/** The operator's configuration: routes, services, limits and tenants of a small deployment. */
final class Operator {

    static final String HOST = "jepu9.example";
    static final String KEY = "wu3fexd9dnn2ctnfzs98";
    static final String TENANT = "sese880";
    static final String OTHER_TENANT = "kumo112";
    static final String OTHER_KEY = "9anu6wsjnbanfqasnmgk";
    static final String LONG_STREAM = "/lepu270/";
    static final String SHORT_STREAM = "/xapu221/";
    static final String ONCE = "/fiti832/";
    static final String IDEMPOTENT = "/filo73/";
    static final String PUBLIC = "/pub41/";

    private Operator() {}

    private static String route(
            String prefix, String kind, int timeoutMillis, int objectiveMillis, String service, int attempts, boolean resumable) {
        boolean stream = kind.equals("stream");
        return "{\"name\":\"r" + prefix.replace("/", "") + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeout-ms\":" + timeoutMillis + ",\"objective-ms\":"
                + objectiveMillis + ",\"priority\":1,\"service\":\"" + service + "\",\"max-attempts\":" + attempts
                + ",\"anonymous\":false"
                + (stream ? ",\"sticky\":true,\"resumable\":" + resumable + ",\"gap-target-ms\":300" : "") + "}";
    }

    /** Returns a configuration as the operator writes it under op/config. */
    static String configuration(int version, int idleTimeoutMillis) {
        return "{\"version\":" + version + ",\"routes\":["
                + route(LONG_STREAM, "stream", 15_000, 1_000, "llm-desk", 1, false) + ","
                + route(SHORT_STREAM, "stream", 3_000, 500, "llm-desk", 2, true) + ","
                + route(ONCE, Names.ONCE_KIND, 1_000, 193, "notice-app", 1, false) + ","
                + route(IDEMPOTENT, "idempotent", 1_000, 193, "notice-app", 2, false)
                + "],\"services\":[{\"name\":\"llm-desk\",\"health-path\":\"/health\",\"max-conns\":300,\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":48,\"kv-capacity\":228731,\"kv-bytes\":163840,\"link-mbps\":260000.0,\"moves\":true,\"backups\":true,"
                + "\"stride\":4,\"max-inflight\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m0\"}]}},"
                + "{\"name\":\"notice-app\",\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":"
                + idleTimeoutMillis + "},"
                + "\"tenants\":[{\"name\":\"" + TENANT + "\",\"api-keys\":[\"" + KEY + "\"],\"priority\":1,\"unit\":\"tokens\","
                + "\"uncached-tokens\":200,\"dedicated\":false,\"rate-per-s\":0,\"burst\":0}]}";
    }

    /** Returns a configuration with a further route, which is open to all and leads to the given service. */
    static String withPublicRoute(int version, String service) {
        String route = route(PUBLIC, "idempotent", 1_000, 193, service, 2, false).replace("\"anonymous\":false", "\"anonymous\":true");
        return configuration(version, 15_000)
                .replace("\"routes\":[", "\"routes\":[" + route + ",")
                .replace(
                        "\"services\":[",
                        "\"services\":[{\"name\":\"notice-new\",\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false},");
    }

    /** Returns a configuration with a further route to an existing service. */
    static String withRoute(int version, String prefix, String service, boolean anonymous) {
        String route = route(prefix, "idempotent", 1_000, 193, service, 2, false)
                .replace("\"anonymous\":false", "\"anonymous\":" + anonymous);
        return configuration(version, 15_000).replace("\"routes\":[", "\"routes\":[" + route + ",");
    }

    /** Returns a configuration with two tenants, the first of which may be a dedicated one. */
    static String withTwoTenants(int version, boolean dedicated) {
        String other = "{\"name\":\"" + OTHER_TENANT + "\",\"api-keys\":[\"" + OTHER_KEY
                + "\"],\"priority\":1,\"unit\":\"tokens\",\"uncached-tokens\":200,\"dedicated\":false,\"rate-per-s\":0,\"burst\":0}";
        return configuration(version, 15_000)
                .replace("\"dedicated\":false", "\"dedicated\":" + dedicated)
                .replace("\"tenants\":[", "\"tenants\":[" + other + ",");
    }
}
