package dev.bluebellshunt.relay.testing;

import dev.bluebellshunt.relay.proxy.AnswerMarks;
import dev.bluebellshunt.relay.proxy.CallerMarks;
import dev.bluebellshunt.relay.proxy.HeaderCodec;
import dev.bluebellshunt.relay.proxy.TargetMarks;
import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;

/** Header codec with header names that are used only in tests. */
public final class PlainHeaders implements HeaderCodec {

    @Override
    public CallerMarks readCaller(HttpFields headers) {
        String timeoutMillis = headers.get("t-patience");
        return new CallerMarks(
                headers.get("t-id"),
                headers.get("authorization"),
                timeoutMillis == null ? null : Duration.ofMillis(Long.parseLong(timeoutMillis)),
                null,
                0,
                0,
                false,
                List.of());
    }

    @Override
    public boolean isReserved(String lowerCaseName) {
        return lowerCaseName.equals("t-workspace") || lowerCaseName.equals("t-patience");
    }

    @Override
    public void writeTarget(HttpFields.Mutable headers, TargetMarks marks) {
        headers.put("t-target", marks.targetId());
        headers.put("t-patience", Long.toString(marks.patience().toMillis()));
        if (marks.workspace() != null) {
            headers.put("t-workspace", marks.workspace());
        }
    }

    @Override
    public AnswerMarks readAnswer(String targetId, int status, HttpFields headers) {
        return new AnswerMarks(
                headers.get("t-id"), headers.contains("t-seal"), headers.contains("t-not-run"), false, false, null);
    }
}
