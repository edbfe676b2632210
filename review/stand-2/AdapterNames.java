import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Each runner holds two models, whose adapters bear the same names. Adapters of the first fill all places. Then new versions of adapters of
 * the second are named, and requests ask for them. To load one, the system has to unload one before.
 */
public final class AdapterNames {
    private static final int RUNNERS = 2;
    private static final int SLOTS = 6;
    private static final int FILLING_ADAPTERS = RUNNERS * SLOTS;
    private static final int NAMED_ADAPTERS = 3;
    private static final long DOWN_MILLIS = 3000;
    private static final EngineRunner.Sizes SIZES = new EngineRunner.Sizes(35_000, 2, 15_000, 40, SLOTS);
    private static final AtomicInteger OVERLOADS = new AtomicInteger();
    private static volatile boolean isNamed;

    private static void startRunner(int number, int boot, Control control, Record record) throws IOException {
        new EngineRunner("i-" + number + "-" + boot, "stitchmind", SIZES, boot > 1, control, record) {
            @Override
            long newestVersion(String adapter) {
                return isNamed && adapter.startsWith("m1/") ? 2 : 1;
            }

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
        AtomicInteger next = new AtomicInteger();
        for (String entry : deployment.entries) {
            for (int i = 0; i < 6; i++) streams.start(entry, () -> "m0/a" + (next.getAndIncrement() % FILLING_ADAPTERS + 1));
        }
        Runner.pause(6000);
        for (int i = 1; i <= NAMED_ADAPTERS && isTrouble; i++) {
            String version = "{\"Model\":\"m1\",\"Adapter\":\"a" + i + "\",\"Version\":2}";
            isNamed = true;
            if (!control.callAny("POST", "/anvilslip/version-put", version)) return cannotRun(record, "a version is not acknowledged");
            record.line("acknowledged: %s", version);
        }
        AtomicInteger named = new AtomicInteger();
        for (String entry : deployment.entries) streams.start(entry, () -> "m1/a" + (named.getAndIncrement() % NAMED_ADAPTERS + 1));
        Runner.pause(8000);
        streams.isStopped = true;
        Runner.pause(2500);
        Map<Integer, Integer> counts = new HashMap<>();
        streams.statuses.forEach(status -> counts.merge(status, 1, Integer::sum));
        record.result("answers by status, 0 for those that were cut off: %s", counts);
        record.result("runners were ordered %d times to load more than they hold", OVERLOADS.get());
        if (counts.getOrDefault(200, 0) < 100) return cannotRun(record, "too few requests are served");
        record.result(OVERLOADS.get() > 0 ? "LIMIT is broken" : "LIMIT holds");
        return OVERLOADS.get() > 0 ? 1 : 0;
    }

    private static int cannotRun(Record record, String reason) {
        record.result("cannot run: %s", reason);
        return 2;
    }
}
