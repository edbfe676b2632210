package review;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;

/** The configuration grows by many routes and is then changed again and again; each change must be acknowledged. */
public final class LargeHistory {
    private static final int BASE_ROUTES = 8;
    private static final int ADDED_ROUTES = 1844;
    private static final int ADDITIONS = 2;
    private static final int CHANGES_IN_PROGRESS = 8;
    private static final int GAP_MILLIS = 330;
    private static final int PLAY_MILLIS = 60_000;
    private static final int ACK_TIMEOUT_MILLIS = 5000;
    private static final int ACK_MILLIS_PER_ROUTE = 3;
    private static final int READS = 5;
    private static final int READ_INTERVAL_MILLIS = 2000;

    private static PrintWriter record;
    private static long endsAt;
    private static long nextAt;
    private static int version = 1;
    private static int routes = BASE_ROUTES;
    private static int lateAcks;

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
            if (change(cluster, 1, BASE_ROUTES) && cluster.awaitReady(Duration.ofSeconds(20))) {
                play(cluster, trouble);
                exit = lateAcks == 0 ? 0 : 1;
                readAll(cluster);
            }
        } catch (Exception e) {
            note("the case could not run: %s", e);
            e.printStackTrace();
        }
        record.close();
        Runtime.getRuntime().halt(exit);
    }

    private static void play(Cluster cluster, boolean trouble) throws InterruptedException {
        for (int i = 0; i < ADDITIONS && trouble; i++) {
            routes += ADDED_ROUTES;
            if (!change(cluster, ++version, routes)) lateAcks++;
        }
        endsAt = System.currentTimeMillis() + PLAY_MILLIS;
        Thread[] operators = new Thread[CHANGES_IN_PROGRESS];
        for (int i = 0; i < operators.length; i++) {
            operators[i] = new Thread(() -> operate(cluster));
            operators[i].start();
        }
        for (Thread operator : operators) operator.join();
    }

    /** Sends one change after the other until the end, or until one was not acknowledged in time. */
    private static void operate(Cluster cluster) {
        try {
            while (true) {
                int next = nextVersion();
                if (next == 0) return;
                if (!change(cluster, next, routes)) stop();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static synchronized void stop() {
        lateAcks++;
    }

    /** Waits for the pause between two changes and returns the next version, or 0 at the end. */
    private static synchronized int nextVersion() throws InterruptedException {
        long wait = nextAt - System.currentTimeMillis();
        if (wait > 0) Thread.sleep(wait);
        nextAt = System.currentTimeMillis() + GAP_MILLIS;
        return lateAcks > 0 || nextAt > endsAt ? 0 : ++version;
    }

    /** Sends a change until it is acknowledged; false if that took longer than the rules allow. */
    private static boolean change(Cluster cluster, int number, int count) throws InterruptedException {
        String document = LargeDocument.of(number, count);
        long sentAt = System.currentTimeMillis();
        Duration allowed = Duration.ofMillis(ACK_TIMEOUT_MILLIS + (long) ACK_MILLIS_PER_ROUTE * count);
        boolean acknowledged = cluster.callAnyControl("POST", "/anvilslip/Config.Replace", document, number == 1 ? Duration.ofSeconds(20) : allowed);
        long took = System.currentTimeMillis() - sentAt;
        note("version %d (%d routes, %d bytes): %s after %d ms", number, count, document.length(), acknowledged ? "acknowledged" : "no ack", took);
        return acknowledged;
    }

    private static void readAll(Cluster cluster) throws InterruptedException {
        for (int i = 0; i < READS; i++) {
            for (String host : cluster.controls) {
                String body = cluster.read(host);
                note("read at %s (process %s): %s", host, cluster.isRunning(host) ? "up" : "down", body == null ? "no document" : body.substring(0, 16));
            }
            Thread.sleep(READ_INTERVAL_MILLIS);
        }
    }
}
