package dev.bluebellshunt.core.member;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.spread.ConfigurationSystem;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Exchanges membership and configuration revisions with one random peer at a time. */
public final class GossipSystem implements ControlSystem {

    /** Mean interval between exchanges that this process initiates. */
    static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(600);

    /** How long a crash is passed on by each VM; several rounds, so that it reaches all. */
    private static final Duration PROMPT_PART_REPORT_WINDOW = Duration.ofSeconds(10);

    private final MemberTable members;
    private final ConfigurationSystem configuration;
    private final CrashSuspects suspects;
    private final PeerClient peers;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final JitteredTimer exchangeTimer;
    private Set<String> setSeedAddresses = Set.of();
    private boolean leaving;

    /**
     * Creates the system.
     *
     * @param members the table of members
     * @param configuration the system that distributes configuration
     * @param suspects the table of requests suspected of crashing targets
     * @param peers client for calls to peers
     * @param control executor of the control thread
     * @param clock the clock
     * @param random the random source for peer selection and jitter
     */
    public GossipSystem(
            MemberTable members,
            ConfigurationSystem configuration,
            CrashSuspects suspects,
            PeerClient peers,
            ControlExecutor control,
            MonotonicClock clock,
            RandomGenerator random) {
        this.members = members;
        this.configuration = configuration;
        this.suspects = suspects;
        this.peers = peers;
        this.control = control;
        this.clock = clock;
        this.random = random;
        this.exchangeTimer = new JitteredTimer(clock, random, EXCHANGE_INTERVAL);
    }

    /**
     * Sets the addresses of potential peers, from the platform's list or the settings.
     *
     * @param addresses the seed addresses
     */
    public void setSeedAddresses(Set<String> addresses) {
        setSeedAddresses = new LinkedHashSet<>(addresses);
        setSeedAddresses.remove(members.self().address());
    }

    /** Starts announcing to peers that this process is shutting down. */
    public void startLeaving() {
        leaving = true;
        exchangeTimer.triggerNow();
    }

    @Override
    public void tick() {
        if (!exchangeTimer.isDue()) {
            return;
        }
        members.updateSelf(configuration.revision(), leaving);
        List<String> addresses = candidateAddresses();
        if (addresses.isEmpty()) {
            return;
        }
        String address = addresses.get(random.nextInt(addresses.size()));
        long sentNanos = clock.nanos();
        control.onCompletion(
                peers.gossip(address, createMessage(false)),
                response -> mergeMessage(response, sentNanos),
                failure -> {});
    }

    /**
     * Handles an exchange initiated by a peer.
     *
     * @param message the peer's message
     * @return this process's response
     */
    public GossipMessage handleExchange(GossipMessage message) {
        mergeMessage(message, clock.nanos());
        members.updateSelf(configuration.revision(), leaving);
        return createMessage(message.membersHash() != members.membershipHash());
    }

    /** Merges a message, whose ages count from a time before which it was not created. */
    private void mergeMessage(GossipMessage message, long asOfNanos) {
        for (GossipMessage.MemberRow row : message.rows()) {
            members.mergeMember(row.member(), asOfNanos - TimeUnit.MILLISECONDS.toNanos(row.ageMillis()));
            if (row.member().vm().equals(message.from()) && message.storeContactAgeMillis() >= 0) {
                configuration.mergeStoreContact(
                        asOfNanos - TimeUnit.MILLISECONDS.toNanos(message.storeContactAgeMillis()),
                        row.member().revision());
            }
        }
        members.mergeAges(message.membersHash(), message.ages(), asOfNanos);
        suspects.mergeReport(message.crashStrikes());
        suspects.promptParts().mergeReport(message.promptParts());
        for (GossipMessage.MemberRow row : message.rows()) {
            configuration.fetchIfNewer(row.member());
        }
    }

    private GossipMessage createMessage(boolean allRows) {
        return new GossipMessage(
                members.self().vm(),
                members.membershipHash(),
                members.encodeAges(),
                members.collectRows(allRows),
                configuration.storeContactAgeMillis(),
                suspects.report(),
                suspects.promptParts().recentReport(PROMPT_PART_REPORT_WINDOW));
    }

    /** Returns the live peers and one other random seed, so that the halves of a partitioned fleet reconnect. */
    private List<String> candidateAddresses() {
        Set<String> addresses = new LinkedHashSet<>();
        members.alivePeers().forEach(member -> addresses.add(member.address()));
        List<String> unreachedSeeds = new ArrayList<>(setSeedAddresses);
        unreachedSeeds.removeAll(addresses);
        if (!unreachedSeeds.isEmpty()) {
            addresses.add(unreachedSeeds.get(random.nextInt(unreachedSeeds.size())));
        }
        return List.copyOf(addresses);
    }
}
