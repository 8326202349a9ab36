package dev.bluebellshunt.core.member;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.Every;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.spread.ConfigurationSystem;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Exchanges what is known of members and of the configuration's revision with one random peer at a time. */
public final class GossipSystem implements ControlSystem {

    /** Mean time between two exchanges that this process begins. */
    static final Duration INTERVAL = Duration.ofMillis(600);

    private final MemberTable members;
    private final ConfigurationSystem configuration;
    private final CrashSuspects suspects;
    private final PeerClient peers;
    private final ControlExecutor control;
    private final RandomGenerator random;
    private final Every every;
    private Set<String> seeds = Set.of();
    private boolean leaving;

    /**
     * Creates the system.
     *
     * @param members the table of members
     * @param configuration the system that spreads configuration
     * @param suspects the table of requests under suspicion
     * @param peers calls to peers
     * @param control runs work on the control thread
     * @param clock the clock to read
     * @param random the source of peers and jitter
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
        this.random = random;
        this.every = new Every(clock, random, INTERVAL);
    }

    /**
     * Names addresses to try where no peer is known, as the platform's list or the settings give them.
     *
     * @param addresses peers' addresses
     */
    public void seeds(Set<String> addresses) {
        seeds = new LinkedHashSet<>(addresses);
        seeds.remove(members.self().address());
    }

    /** Tells peers from now on that this process is shutting down. */
    public void leave() {
        leaving = true;
        every.hurry();
    }

    @Override
    public void tick() {
        if (!every.isDue()) {
            return;
        }
        members.describe(configuration.revision(), leaving);
        List<String> addresses = addresses();
        if (addresses.isEmpty()) {
            return;
        }
        String address = addresses.get(random.nextInt(addresses.size()));
        control.await(peers.gossip(address, message(false)), this::receive, failure -> {});
    }

    /**
     * Answers a peer's message.
     *
     * @param message what the peer knows
     * @return what this process knows
     */
    public GossipMessage answer(GossipMessage message) {
        receive(message);
        members.describe(configuration.revision(), leaving);
        return message(message.membersHash() != members.hash());
    }

    private void receive(GossipMessage message) {
        for (GossipMessage.MemberRow row : message.rows()) {
            members.learn(row.member(), row.ageMillis());
        }
        members.hear(message.membersHash(), message.ages());
        suspects.learn(message.crashStrikes());
        configuration.storeContact(message.storeContactAgeMillis());
        for (GossipMessage.MemberRow row : message.rows()) {
            configuration.peerHas(row.member());
        }
    }

    private GossipMessage message(boolean allRows) {
        return new GossipMessage(
                members.self().vm(),
                members.hash(),
                members.ages(),
                members.rows(allRows),
                configuration.storeContactAgeMillis(),
                suspects.report());
    }

    /** Alive peers, and one seed in turn so that two halves of a fleet that lost each other meet again. */
    private List<String> addresses() {
        Set<String> addresses = new LinkedHashSet<>();
        members.alivePeers().forEach(member -> addresses.add(member.address()));
        List<String> unknown = new ArrayList<>(seeds);
        unknown.removeAll(addresses);
        if (!unknown.isEmpty()) {
            addresses.add(unknown.get(random.nextInt(unknown.size())));
        }
        return List.copyOf(addresses);
    }
}
