import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests for many rare adapters come at once. The adapters that a runner has places for do not all fit into its memory beside the model,
 * so the system may load fewer of them on each runner.
 */
public final class AdapterMemory {
    private static final int RUNNERS = 3;
    private static final long DOWN_MILLIS = 3000;
    private static final EngineRunner.Sizes SIZES = new EngineRunner.Sizes(35_000, 1, 34_300, 150, 6);

    /** Requesters of each entry instance; in the burst there are twice as many. */
    private static final int CLIENTS = 6;
    private static final long BURST_MILLIS = 4500;

    /** Adapters that requests ask for: few of them, or in the burst of rare ones many. */
    private static final int COMMON_ADAPTERS = 3;
    private static final int RARE_ADAPTERS = 24;
    private static final AtomicInteger OVERLOADS = new AtomicInteger();

    private static void startRunner(int number, int boot, Control control, Record record) throws IOException {
        new EngineRunner("i-" + number + "-" + boot, "stitchmind", SIZES, boot > 1, control, record) {
            @Override
            void onOverload() {
                OVERLOADS.incrementAndGet();
                daemon("restart-" + number, () -> {
                    pause(DOWN_MILLIS);
                    try {
                        startRunner(number, boot + 1, control, record);
                    } catch (IOException e) {
                        record.line("runner %d cannot start again: %s", number, e.getMessage());
                    }
                });
            }
        }.start();
    }

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(args[2]));
            Deployment deployment = new Deployment(Path.of(args[0]), Path.of(args[1]), 3, 2, record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
            code = play(deployment, record, isTrouble);
        }
        System.exit(code);
    }

    private static int play(Deployment deployment, Record record, boolean isTrouble) throws Exception {
        Control control = new Control(deployment);
        deployment.startAll();
        if (!control.replace(Documents.engine(1, SIZES))) return cannotRun(record, "the desired state is not acknowledged");
        for (int i = 0; i < RUNNERS; i++) startRunner(i, 1, control, record);
        Streams streams = new Streams(deployment, record);
        if (!control.awaitServing(entry -> streams.sendOne(entry, "m0/a1") == 200)) return cannotRun(record, "the entry instances do not serve");
        for (String entry : deployment.entries) for (int i = 0; i < CLIENTS; i++) streams.start(entry, () -> anyOf(COMMON_ADAPTERS));
        Runner.pause(6000);
        record.line("%s", isTrouble ? "many rare adapters are asked for at once" : "nothing is changed");
        int adapters = isTrouble ? RARE_ADAPTERS : COMMON_ADAPTERS;
        Streams more = new Streams(deployment, record);
        for (String entry : deployment.entries) for (int i = 0; i < CLIENTS; i++) more.start(entry, () -> anyOf(adapters));
        Runner.pause(BURST_MILLIS);
        more.isStopped = true;
        record.line("the burst is over");
        Runner.pause(4000);
        streams.isStopped = true;
        Runner.pause(2500);
        streams.statuses.addAll(more.statuses);
        Map<Integer, Integer> counts = new HashMap<>();
        streams.statuses.forEach(status -> counts.merge(status, 1, Integer::sum));
        record.result("answers by status, 0 for those that were cut off: %s", counts);
        record.result("runners were ordered %d times to load more than they hold", OVERLOADS.get());
        if (counts.getOrDefault(200, 0) < 100) return cannotRun(record, "too few requests are served");
        record.result(OVERLOADS.get() > 0 ? "LIMIT is broken" : "LIMIT holds");
        return OVERLOADS.get() > 0 ? 1 : 0;
    }

    private static String anyOf(int adapters) {
        return "m0/a" + (ThreadLocalRandom.current().nextInt(adapters) + 1);
    }

    private static int cannotRun(Record record, String reason) {
        record.result("cannot run: %s", reason);
        return 2;
    }
}
