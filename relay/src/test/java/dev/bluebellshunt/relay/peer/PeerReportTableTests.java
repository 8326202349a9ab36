package dev.bluebellshunt.relay.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.aMapWithSize;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.notNullValue;

import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.relay.peer.PeerAdmissions.HubReservations;
import dev.bluebellshunt.relay.target.InFlightLoad;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The sums that a hub sends, and what a VM knows from reports and digests of different ages. */
class PeerReportTableTests {

    private static final Duration WINDOW = Duration.ofSeconds(8);
    private static final HubReservations NO_RESERVATIONS = new HubReservations(Map.of(), 0);

    private final ManualClock clock = new ManualClock();
    private final PeerReportTable hub = new PeerReportTable(clock, WINDOW);
    private long sequence;

    /** A report with one request on target t, and admissions of workspace w. */
    private PeerReport report(String vm, double units, double perSecond) {
        return new PeerReport(
                vm,
                ++sequence,
                Map.of("t", new InFlightLoad(1, 100, 10, 0)),
                Map.of("w", units),
                Map.of(),
                false,
                List.of(),
                CrashReport.EMPTY,
                Map.of("w", perSecond),
                Map.of(),
                Set.of(vm),
                Map.of(),
                PeerObservations.NONE);
    }

    @Test
    void digestContainsTheWholeFleetExceptForTheMember() {
        hub.updateOwn(report("hub", 1, 0));
        hub.updateMember(report("a", 10, 0));
        hub.updateMember(report("b", 100, 0));
        hub.update(report("other-hub", 1_000, 0));
        FleetDigest digest = hub.digestFor("a", NO_RESERVATIONS);
        assertThat(digest.admitted().get("w"), equalTo(1_101.0));
        assertThat(digest.uses().get("t"), equalTo(new InFlightLoad(3, 300, 30, 0)));
    }

    /** Guards against sums that travel in a circle between hubs. */
    @Test
    void groupReportContainsNoReportsOfOtherHubs() {
        hub.updateOwn(report("hub", 1, 0));
        hub.updateMember(report("a", 10, 0));
        hub.update(report("other-hub", 1_000, 0));
        PeerReport group = hub.groupReport();
        assertThat(group.admitted().get("w"), equalTo(11.0));
        assertThat(group.vms(), containsInAnyOrder("hub", "a"));
    }

    @Test
    void sumsCoverTheTimeSinceTheReports() {
        hub.updateOwn(report("hub", 0, 0));
        hub.updateMember(report("a", 1_000, 400));
        clock.advance(Duration.ofMillis(500));
        assertThat(hub.groupReport().admitted().get("w"), equalTo(1_200.0));
        assertThat(hub.admissions().estimate("w", clock.nanos()), closeTo(1_200, 1e-6));
    }

    /** Guards against a member whose admissions are forgotten when it falls silent. */
    @Test
    void admissionsOfSilentMemberAreReportedUntilTheWindowHasPassed() {
        hub.updateOwn(report("hub", 0, 0));
        hub.updateMember(report("a", 1_000, 0));
        clock.advance(PeerReportTable.REPORT_TTL);
        hub.expireReports();
        PeerReport group = hub.groupReport();
        assertThat(group.vms(), containsInAnyOrder("hub"));
        assertThat(group.silent(), equalTo(Map.of("a", Map.of("w", 1_000.0))));
        clock.advance(WINDOW);
        hub.expireReports();
        assertThat(hub.groupReport().silent(), aMapWithSize(0));
    }

    @Test
    void memberThatReportsToAnotherHubIsNotSilent() {
        hub.updateOwn(report("hub", 0, 0));
        hub.updateMember(report("a", 1_000, 0));
        clock.advance(PeerReportTable.REPORT_TTL);
        PeerReport otherGroup = new PeerReport(
                "other-hub",
                ++sequence,
                Map.of(),
                Map.of(),
                Map.of(),
                false,
                List.of(),
                CrashReport.EMPTY,
                Map.of(),
                Map.of(),
                Set.of("other-hub", "a"),
                Map.of(),
                PeerObservations.NONE);
        hub.update(otherGroup);
        assertThat(hub.groupReport().silent(), aMapWithSize(0));
    }

    /** Guards against an answer that was under way for a second and then counts as new. */
    @Test
    void ageOfDigestCountsFromTheQuestion() {
        PeerReportTable member = new PeerReportTable(clock, WINDOW);
        long askedNanos = clock.nanos();
        clock.advance(Duration.ofSeconds(1));
        hub.updateOwn(report("hub", 1_000, 100));
        member.updateDigest(hub.digestFor("a", NO_RESERVATIONS), askedNanos);
        assertThat(member.admissions().estimate("w", clock.nanos()), closeTo(1_100, 1e-6));
        assertThat(member.admissions().hubReservations(), notNullValue());
        clock.advance(PeerReportTable.REPORT_TTL.minusSeconds(1));
        assertThat("the digest has expired", member.admissions().hubReservations() == null);
        assertThat(member.admissions().silent(), hasSize(1));
    }
}
