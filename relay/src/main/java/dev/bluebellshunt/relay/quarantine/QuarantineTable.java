package dev.bluebellshunt.relay.quarantine;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.retry.PromptPartSuspects;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Quarantines of one kind, in the form in which the store keeps them. */
public interface QuarantineTable {

    /**
     * A quarantine.
     *
     * @param name identifies what is quarantined, among quarantines of the same kind
     * @param crashes the names of the crashes that led to the quarantine
     * @param value the record for the store
     */
    record Quarantine(String name, Set<String> crashes, String value) {}

    /**
     * Returns the first part of the keys of the records.
     *
     * @return a prefix that records of no other kind have
     */
    String keyPrefix();

    /**
     * Returns the quarantines that this VM stores.
     *
     * @return those to which this VM has contributed a crash
     */
    List<Quarantine> observed();

    /**
     * Merges a record from the store.
     *
     * @param value the record
     * @throws IllegalArgumentException if the record is malformed
     */
    void merge(String value);

    /**
     * Returns the quarantined requests.
     *
     * @param suspects the table of requests
     * @return a view of the table
     */
    static QuarantineTable ofRequests(CrashSuspects suspects) {
        return new QuarantineTable() {
            @Override
            public String keyPrefix() {
                return "bluebellshunt/quarantine/";
            }

            @Override
            public List<Quarantine> observed() {
                return suspects.observedQuarantines().entrySet().stream()
                        .map(row -> new Quarantine(
                                Long.toHexString(row.getKey()),
                                row.getValue().keySet(),
                                Json.write(new QuarantineRecord(Map.of(row.getKey(), row.getValue())))))
                        .toList();
            }

            @Override
            public void merge(String value) {
                suspects.mergeReport(Json.read(value, QuarantineRecord.class).crashes());
            }
        };
    }

    /**
     * Returns the quarantined prompt parts.
     *
     * @param suspects the table of prompt parts
     * @return a view of the table
     */
    static QuarantineTable ofPromptParts(PromptPartSuspects suspects) {
        return new QuarantineTable() {
            @Override
            public String keyPrefix() {
                return "bluebellshunt/quarantined-parts/";
            }

            @Override
            public List<Quarantine> observed() {
                return suspects.observedQuarantines().entrySet().stream()
                        .map(row -> new Quarantine(
                                row.getKey(),
                                row.getValue().keySet(),
                                Json.write(new PromptPartQuarantineRecord(row.getKey(), row.getValue()))))
                        .toList();
            }

            @Override
            public void merge(String value) {
                PromptPartQuarantineRecord stored = Json.read(value, PromptPartQuarantineRecord.class);
                suspects.mergeQuarantines(Map.of(stored.part(), stored.crashes()));
            }
        };
    }
}
