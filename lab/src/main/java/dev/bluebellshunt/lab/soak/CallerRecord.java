package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.platform.standin.Operator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** What the clients sent and got. Thread-safe. */
final class CallerRecord {

    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final Map<String, Answer> answers = new ConcurrentHashMap<>();

    /**
     * A request that a client began to send.
     *
     * @param requestId the id, which no other request has
     * @param route the route
     * @param workspace the workspace whose key it had
     * @param path the path
     * @param bodyLength the length of the body
     * @param deadlineMillis how long the client waits
     * @param client the client
     * @param vm the VM that its connection leads to
     * @param millis the time of day
     */
    record Sent(
            String requestId,
            Operator.Route route,
            String workspace,
            String path,
            int bodyLength,
            int deadlineMillis,
            String client,
            String vm,
            long millis) {}

    /**
     * What came back.
     *
     * @param requestId the id of the request that the client takes it for
     * @param status the status, or zero if the connection ended before a head
     * @param whole whether the body came up to its end
     * @param body the body
     * @param millis the time of day
     */
    record Answer(String requestId, int status, boolean whole, String body, long millis) {

        private static final int PRINTED_CHARACTERS = 160;

        @Override
        public String toString() {
            String begin = body.substring(0, Math.min(PRINTED_CHARACTERS, body.length()));
            return "status " + status + (whole ? " whole" : " cut off") + " at " + millis + " with " + body.length()
                    + " bytes: " + begin.replace("\n", "\\n");
        }
    }

    void add(Sent request) {
        sent.put(request.requestId(), request);
    }

    void add(Answer answer) {
        answers.put(answer.requestId(), answer);
    }

    Map<String, Sent> sent() {
        return Map.copyOf(sent);
    }

    Map<String, Answer> answers() {
        return Map.copyOf(answers);
    }

    Optional<Answer> answer(String requestId) {
        return Optional.ofNullable(answers.get(requestId));
    }
}
