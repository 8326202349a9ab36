package dev.bluebellshunt.core.testing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/** Verifies that {@code docs/FAULT-MATRIX.md} matches the fault matrix tests. */
public final class FaultMatrix {

    private static final String WRITE_PROPERTY = "faultmatrix.write";

    private FaultMatrix() {}

    /**
     * Returns the combinations of each step with each fault, alone and followed by each other fault.
     *
     * @param steps the steps
     * @param faults the faults
     * @return step, first fault and second fault; both faults are the same if a fault occurs alone
     */
    public static Stream<Arguments> pairs(Enum<?>[] steps, Enum<?>[] faults) {
        List<Arguments> cells = new ArrayList<>();
        for (Enum<?> step : steps) {
            for (Enum<?> first : faults) {
                for (Enum<?> second : faults) {
                    cells.add(Arguments.of(step, first, second));
                }
            }
        }
        return cells.stream();
    }

    /**
     * Asserts that the document contains the table of a part, or updates it if the system property
     * {@code faultmatrix.write} is set.
     *
     * @param part the part, such as {@code grant}
     * @param promise the property that each cell asserts
     * @param steps the steps, which are the columns
     * @param faults the faults, which are the rows
     * @param test the test class
     */
    public static void assertDocumented(String part, String promise, Enum<?>[] steps, Enum<?>[] faults, Class<?> test) {
        String table = table(part, promise, steps, faults, test);
        try {
            Path document = document();
            String text = Files.readString(document);
            if (System.getProperty(WRITE_PROPERTY) != null && !text.contains(table)) {
                text = replace(text, part, table);
                Files.writeString(document, text);
            }
            assertThat(text, containsString(table));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String replace(String text, String part, String table) {
        int start = text.indexOf(begin(part));
        if (start < 0) {
            return text + "\n" + table;
        }
        int end = text.indexOf(end(part), start) + end(part).length();
        return text.substring(0, start) + table + text.substring(end);
    }

    private static String table(String part, String promise, Enum<?>[] steps, Enum<?>[] faults, Class<?> test) {
        StringBuilder text = new StringBuilder(begin(part));
        text.append("\n## ").append(part).append("\n\n");
        text.append("Each cell asserts: ").append(promise).append(".\n\n| fault |");
        for (Enum<?> step : steps) {
            text.append(' ').append(label(step)).append(" |");
        }
        text.append("\n|---|").append("---|".repeat(steps.length)).append('\n');
        for (Enum<?> fault : faults) {
            text.append("| ").append(label(fault)).append(" |");
            text.append(" `").append(test.getSimpleName()).append("` |");
            text.append(" same |".repeat(steps.length - 1)).append('\n');
        }
        return text.append(end(part)).toString();
    }

    private static String label(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static String begin(String part) {
        return "<!-- begin " + part + " -->";
    }

    private static String end(String part) {
        return "<!-- end " + part + " -->\n";
    }

    private static Path document() {
        Path folder = Path.of("").toAbsolutePath();
        while (folder != null && !Files.exists(folder.resolve("docs/FAULT-MATRIX.md"))) {
            folder = folder.getParent();
        }
        return Objects.requireNonNull(folder, "no docs/FAULT-MATRIX.md above the working directory")
                .resolve("docs/FAULT-MATRIX.md");
    }
}
