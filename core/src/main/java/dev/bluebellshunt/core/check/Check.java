package dev.bluebellshunt.core.check;

/** Argument checks that name what was wrong. */
public final class Check {

    private Check() {}

    /**
     * Checks a condition on an argument.
     *
     * @param condition what must hold
     * @param message what to say where it does not
     * @throws IllegalArgumentException if the condition does not hold
     */
    public static void argument(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /**
     * Checks that a text is not blank.
     *
     * @param text the text
     * @param name what the text is, for the message
     * @return the text
     * @throws IllegalArgumentException if the text is blank
     */
    public static String hasText(String text, String name) {
        argument(!text.isBlank(), name + " must not be blank");
        return text;
    }
}
