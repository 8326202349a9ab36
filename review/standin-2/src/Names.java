import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** The names of the platform's calls, keys, fields and headers, read from a file. */
final class Names {
    private static final Properties NAMES = read();

    static final String CONFIGURATION_KEY = name("configuration-key");
    static final String TARGET_PREFIX = name("target-prefix");
    static final String KEY_CALL = name("key-call");
    static final String RANGE_CALL = name("range-call");
    static final String WATCH_CALL = name("watch-call");
    static final String TRANSACTION_CALL = name("transaction-call");
    static final String GRANT_CALL = name("grant-call");
    static final String RENEW_CALL = name("renew-call");
    static final String REVOKE_CALL = name("revoke-call");
    static final String READINESS_CALL = name("readiness-call");
    static final String ONCE_KIND = name("once-kind");
    static final String SEAL_HEADER = name("seal-header");
    static final String INSTANCE_HEADER = name("instance-header");
    static final String TOKENS_HEADER = name("tokens-header");
    static final String PROMPT_HEADER = name("prompt-header");

    private Names() {}

    private static Properties read() {
        try (Reader reader = Files.newBufferedReader(Path.of("review/standin-2/names.properties"))) {
            Properties names = new Properties();
            names.load(reader);
            return names;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String name(String key) {
        String name = NAMES.getProperty(key);
        if (name == null) {
            throw new IllegalStateException("no name " + key);
        }
        return name;
    }
}
