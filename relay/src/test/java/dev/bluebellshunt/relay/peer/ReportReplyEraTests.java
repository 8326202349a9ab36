package dev.bluebellshunt.relay.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.relay.store.StoreRevision;
import org.junit.jupiter.api.Test;

class ReportReplyEraTests {

    /** Guards against a reply of an older version that cannot be read, since it states no era. */
    @Test
    void replyWithoutEraIsReadable() {
        ReportReply.Operators operators = Json.read(
                "{\"revision\":7,\"weights\":{},\"ageMillis\":1,\"watchMillis\":2}", ReportReply.Operators.class);
        assertThat(operators.at(0).revision(), equalTo(new StoreRevision(StoreRevision.NO_ERA, 7)));
        ReportReply.Targets targets =
                Json.read("{\"listing\":3,\"ageMillis\":1,\"availableMillis\":2}", ReportReply.Targets.class);
        assertThat(targets.era(), equalTo(StoreRevision.NO_ERA));
    }
}
