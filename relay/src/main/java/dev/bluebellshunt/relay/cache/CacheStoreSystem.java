package dev.bluebellshunt.relay.cache;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import java.time.Duration;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows the news of the store of cached prompts, and notices when it does not answer. */
public final class CacheStoreSystem implements ControlSystem {

    /** How long the store may wait for news: within what it lets wait, and short against an outage. */
    static final Duration WAIT = Duration.ofMillis(900);

    /** Pause between two calls, which bounds their number where news come all the time. */
    static final Duration PAUSE = Duration.ofMillis(500);

    private static final Logger log = LoggerFactory.getLogger("cache");

    private final CacheStoreClient client;
    private final CacheStore store;
    private final OperatorStateSystem operators;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private boolean calling;
    private boolean answers;
    private long epoch;
    private long next;
    private String asked = "";
    private Deadline nextCall;

    /**
     * Creates a system that asks once a configuration names a store.
     *
     * @param client asks the store
     * @param store takes the news
     * @param operators knows the store's address
     * @param control the control thread
     * @param clock the clock to read
     */
    public CacheStoreSystem(
            CacheStoreClient client,
            CacheStore store,
            OperatorStateSystem operators,
            ControlExecutor control,
            MonotonicClock clock) {
        this.client = client;
        this.store = store;
        this.operators = operators;
        this.control = control;
        this.clock = clock;
        this.nextCall = new Deadline(clock.nanos());
    }

    @Override
    public void tick() {
        if (calling || !nextCall.hasPassed(clock)) {
            return;
        }
        Optional<String> address = operators
                .configuration()
                .flatMap(known -> known.cacheStores().stream().sorted().findFirst());
        if (address.isEmpty()) {
            store.away();
            return;
        }
        if (!address.get().equals(asked)) {
            asked = address.get();
            next = 0;
        }
        call(asked);
    }

    private void call(String address) {
        calling = true;
        nextCall = Deadline.after(clock, PAUSE);
        control.await(
                client.news(address, next, WAIT),
                news -> {
                    calling = false;
                    if (!answers || epoch != news.epoch()) {
                        log.info("The store of cached prompts at {} answers, epoch {}.", address, news.epoch());
                    }
                    answers = true;
                    epoch = news.epoch();
                    next = news.next();
                    store.take(address, news);
                },
                failure -> {
                    calling = false;
                    if (answers) {
                        log.warn("The store of cached prompts at {} does not answer: {}", address, failure.toString());
                    }
                    answers = false;
                    next = 0;
                    store.away();
                });
    }
}
