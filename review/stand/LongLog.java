package review;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;

/** A large configuration is changed many times, then all control processes are killed; what was acknowledged must be readable again. */
public final class LongLog {
    private static final int BASE_ROUTES = 8;
    private static final int ADDED_ROUTES = 1844;
    private static final int ADDITIONS = 2;
    private static final int CHANGES = 48;
    private static final int GAP_MILLIS = 330;
    private static final int RESTART_MILLIS = 500;
    private static final int RECOVERY_MILLIS = 15_000;
    private static final int READ_MILLIS = 15_000;

    private static PrintWriter record;

    private static synchronized void note(String format, Object... values) {
        record.println(System.currentTimeMillis() + " " + String.format(Locale.ROOT, format, values));
        record.flush();
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])));
        int exit = 2;
        try (Cluster cluster = new Cluster(Path.of(args[0]), Path.of(args[2]), 3, 2, 1200)) {
            cluster.start();
            long acknowledged = change(cluster);
            if (acknowledged > 0) {
                if (trouble) killAll(cluster);
                exit = isReadable(cluster, acknowledged) ? 0 : 1;
            }
        } catch (Exception e) {
            note("the case could not run: %s", e);
            e.printStackTrace();
        }
        record.close();
        Runtime.getRuntime().halt(exit);
    }

    /** Sends all changes and returns the last version, or 0 if one was not acknowledged. */
    private static long change(Cluster cluster) throws Exception {
        long version = 0;
        int routes = BASE_ROUTES;
        for (int i = 0; i <= ADDITIONS + CHANGES; i++) {
            if (i > 0 && i <= ADDITIONS) routes += ADDED_ROUTES;
            String document = LargeDocument.of(++version, routes);
            long sentAt = System.currentTimeMillis();
            if (!cluster.callAnyControl("POST", "/anvilslip/Config.Replace", document, Duration.ofSeconds(20))) {
                note("version %d (%d bytes) was not acknowledged", version, document.length());
                return 0;
            }
            note("version %d (%d routes, %d bytes) acknowledged after %d ms", version, routes, document.length(), System.currentTimeMillis() - sentAt);
            if (i == 0 && !cluster.awaitReady(Duration.ofSeconds(20))) {
                note("the entry instances did not become ready");
                return 0;
            }
            Thread.sleep(Math.max(0, GAP_MILLIS - (System.currentTimeMillis() - sentAt)));
        }
        return version;
    }

    /** Kills all control processes at the same moment and starts them again, as often as they end. */
    private static void killAll(Cluster cluster) throws Exception {
        for (String host : cluster.controls) cluster.kill(host);
        note("killed all control processes");
        Thread.sleep(RESTART_MILLIS);
        for (String host : cluster.controls) cluster.start(host, false);
        note("started all control processes");
    }

    /** True if the configuration can be read with [version] within the time to recover and [READ_MILLIS] more. */
    private static boolean isReadable(Cluster cluster, long version) throws Exception {
        long deadline = System.currentTimeMillis() + RECOVERY_MILLIS + READ_MILLIS;
        while (System.currentTimeMillis() < deadline) {
            for (String host : cluster.controls) {
                if (!cluster.isRunning(host)) {
                    note("the process on %s ended by itself and is started again", host);
                    cluster.start(host, false);
                }
                String body = cluster.read(host);
                note("read at %s: %s", host, body == null ? "no document" : body.substring(0, Math.min(30, body.length())));
                if (body != null) return body.startsWith("{\"Version\":" + version + ",");
            }
            Thread.sleep(1000);
        }
        note("the configuration did not come within %d ms", RECOVERY_MILLIS + READ_MILLIS);
        return false;
    }
}
