package dev.bluebellshunt.lab.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Something that is done to the deployment from outside.
 *
 * @param atMillis when, counted from the begin of the traffic
 * @param kind what is done
 * @param victim the name of the process, link or pool
 * @param durationMillis how long it lasts
 * @param choice what else is drawn
 */
record Fault(long atMillis, Kind kind, String victim, long durationMillis, int choice) {

    private static final long FIRST_MILLIS = 1_000;

    /** Of this many seeds one has planned work only. */
    private static final int PLANNED_ONLY_RATIO = 3;

    /**
     * The kinds of fault, each with whether it is planned work, the mean time between two of them, and the longest
     * time that one lasts.
     */
    enum Kind {
        VM_STOP(Place.VM, false, 6_000, 4_000),
        VM_TERM(Place.VM, true, 14_000, 1),
        VM_HANGUP(Place.VM, true, 10_000, 1),
        VM_KILL(Place.VM, false, 16_000, 1),
        TARGET_STOP(Place.TARGET, false, 5_000, 5_000),
        TARGET_TERM(Place.TARGET, true, 16_000, 1),
        TARGET_KILL(Place.TARGET, false, 16_000, 1),
        LINK_DELAY(Place.LINK, false, 4_000, 3_000),
        LINK_RESET(Place.LINK, false, 4_000, 1),
        LINK_ONE_WAY(Place.LINK, false, 6_000, 2_000),
        LINK_SILENCE(Place.LINK, false, 6_000, 2_000),
        NAME_WEIGHTS(Place.POOL, true, 2_500, 1),
        CHANGE_CONFIGURATION(Place.OPERATOR, true, 7_000, 1),
        STORE_RESTORE(Place.STORE, false, 9_000, 5_000),
        RELEASE(Place.OPERATOR, true, 12_000, 1);

        private final Place place;
        private final boolean planned;
        private final long meanGapMillis;
        private final long maxMillis;

        Kind(Place place, boolean planned, long meanGapMillis, long maxMillis) {
            this.place = place;
            this.planned = planned;
            this.meanGapMillis = meanGapMillis;
            this.maxMillis = maxMillis;
        }
    }

    /** Where a fault takes place. */
    enum Place {
        VM,
        TARGET,
        LINK,
        POOL,
        OPERATOR,
        STORE
    }

    /**
     * The names of what faults may befall.
     *
     * @param vms the VMs
     * @param targets the targets
     * @param links the proxies
     * @param pools the pools with weights
     */
    record Victims(List<String> vms, List<String> targets, List<String> links, List<String> pools) {
        private List<String> at(Place place) {
            return switch (place) {
                case VM -> vms;
                case TARGET -> targets;
                case LINK -> links;
                case POOL -> pools;
                case OPERATOR -> List.of("operator");
                case STORE -> List.of("store");
            };
        }
    }

    /** Draws the faults of a soak, each kind from a generator of its own, so that they come in series and overlap. */
    static List<Fault> plan(long seed, Duration traffic, Victims victims) {
        List<Fault> faults = new ArrayList<>();
        SplittableRandom seeds = new SplittableRandom(seed);
        for (Kind kind : Kind.values()) {
            SplittableRandom random = seeds.split();
            if (isPlannedOnly(seed) && !kind.planned) {
                continue;
            }
            List<String> names = victims.at(kind.place);
            for (long at = FIRST_MILLIS + gap(random, kind); at < traffic.toMillis(); at += gap(random, kind)) {
                faults.add(new Fault(
                        at,
                        kind,
                        names.get(random.nextInt(names.size())),
                        1 + random.nextLong(kind.maxMillis),
                        random.nextInt(Integer.MAX_VALUE)));
            }
        }
        faults.sort(Comparator.comparingLong(Fault::atMillis));
        return List.copyOf(faults);
    }

    /** Whether a soak has planned work only, so that all VMs are in touch and more rules bind. */
    static boolean isPlannedOnly(long seed) {
        return Math.floorMod(seed, PLANNED_ONLY_RATIO) == 0;
    }

    private static long gap(SplittableRandom random, Kind kind) {
        return 1 + random.nextLong(2 * kind.meanGapMillis);
    }
}
