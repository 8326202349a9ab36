package dev.bluebellshunt.core.check;

/** Validates method arguments. */
public final class Check {

    private Check() {}

    /**
     * Requires a condition on an argument to hold.
     *
     * @param condition the required condition
     * @param message the exception message
     * @throws IllegalArgumentException if the condition is false
     */
    public static void requireArgument(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /**
     * Requires a string not to be blank.
     *
     * @param value the string
     * @param name the name of the value, for the exception message
     * @return the string
     * @throws IllegalArgumentException if the string is blank
     */
    public static String requireText(String value, String name) {
        requireArgument(!value.isBlank(), name + " must not be blank");
        return value;
    }
}
