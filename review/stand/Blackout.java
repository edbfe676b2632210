package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/** A request that has crashed three runners comes again after all processes of the system were killed. */
public final class Blackout {
    private static final int CONTACT_MILLIS = 3000;
    private static final int MAX_LATE_RETRIES = 3;
    private static final int HEARTBEAT_MILLIS = 1200;
    private static final int DOWN_MILLIS = 3000;
    private static final int RUNNERS = 8;
    private static final int ENTRIES = 6;
    private static final int SETTLE_MILLIS = 6000;
    private static final int RESTART_MILLIS = 900;
    private static final int MAX_FIRST_ATTEMPTS = 10;
    private static final List<Long> runs = new CopyOnWriteArrayList<>();
    private static PrintWriter record;
    private static int sent;

    private static synchronized void note(String format, Object... values) {
        record.println(System.currentTimeMillis() + " " + String.format(Locale.ROOT, format, values));
        record.flush();
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])));
        int exit = 2;
        try (Cluster cluster = new Cluster(Path.of(args[0]), Path.of(args[2]), 3, ENTRIES, HEARTBEAT_MILLIS)) {
            cluster.start();
            if (cluster.callAnyControl("POST", "/anvilslip/Config.Replace", document(), Duration.ofSeconds(20)) && cluster.awaitReady(Duration.ofSeconds(20))) {
                for (int i = 0; i < RUNNERS; i++) startRunner(cluster, i, 0, 0);
                Thread.sleep(SETTLE_MILLIS);
                play(cluster, trouble);
                exit = judge() ? 0 : 1;
            }
        } catch (Exception e) {
            note("the case could not run: %s", e);
            e.printStackTrace();
        }
        record.close();
        Runtime.getRuntime().halt(exit);
    }

    private static String document() {
        return "{\"Version\":1,\"Routes\":[{\"Name\":\"status\",\"Host\":\"shop.example\",\"PathPrefix\":\"/status/\",\"Type\":\"idempotent\",\"TimeoutMs\":2500,"
            + "\"TargetLatencyMs\":200,\"Priority\":1,\"Service\":\"app\",\"MaxAttempts\":2,\"Public\":false}],\"Services\":[{\"Name\":\"app\","
            + "\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,"
            + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[\"key-1\"]}]}";
    }

    private static void startRunner(Cluster cluster, int number, int boot, int port) throws IOException {
        Runner[] self = new Runner[1];
        self[0] = new Runner("i-" + number + "-" + boot, "app", cluster.standInHost(), port, 6, "", HEARTBEAT_MILLIS, cluster, (request, socket, out) -> {
            request.body.readNBytes(request.contentLength);
            runs.add(System.currentTimeMillis());
            note("ran %s at %s", request.header("x-attempt-id"), self[0].id);
            synchronized (self[0]) {
                if (self[0].isRunning()) self[0].crash();
            }
            Thread restart = new Thread(() -> {
                try {
                    Thread.sleep(DOWN_MILLIS);
                    startRunner(cluster, number, boot + 1, self[0].port());
                } catch (IOException | InterruptedException e) {
                    note("runner %d did not start again: %s", number, e);
                }
            });
            restart.setDaemon(true);
            restart.start();
            throw new IOException("crashed");
        });
        self[0].start();
    }

    private static void play(Cluster cluster, boolean trouble) throws Exception {
        for (int i = 0; i < MAX_FIRST_ATTEMPTS && runs.size() < 3; i++) {
            note("first: %s", send(cluster, cluster.entries.get(0), ++sent));
            Thread.sleep(500);
        }
        Thread.sleep(CONTACT_MILLIS);
        for (String entry : cluster.entries) note("after the third crash: %s", send(cluster, entry, ++sent));
        if (trouble) {
            List<String> hosts = new ArrayList<>(cluster.controls);
            hosts.addAll(cluster.entries);
            for (String host : hosts) cluster.kill(host);
            note("killed all processes");
            Thread.sleep(RESTART_MILLIS);
            for (String host : hosts) cluster.start(host, false);
            if (!cluster.awaitReady(Duration.ofSeconds(20))) throw new IOException("the entry instances did not become ready again");
            note("all processes are back");
            Thread.sleep(3 * CONTACT_MILLIS);
        }
        List<Thread> threads = new ArrayList<>();
        for (String entry : cluster.entries) {
            int number = ++sent;
            Thread thread = new Thread(() -> note("once more: %s", send(cluster, entry, number)));
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) thread.join();
        Thread.sleep(1000);
    }

    private static String send(Cluster cluster, String entry, int number) {
        String attempt = String.format("%016x", number);
        try (Socket socket = new Socket()) {
            socket.connect(cluster.frontendAddress(entry), 1000);
            socket.setSoTimeout(3500);
            socket.getOutputStream().write(("GET /status/deadly HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            return attempt + " at " + entry + " " + Runner.readLine(in);
        } catch (IOException e) {
            return attempt + " at " + entry + " failed";
        }
    }

    /** True if the rule held. */
    private static boolean judge() {
        if (runs.size() < 3) throw new IllegalStateException("the request crashed only " + runs.size() + " runners");
        List<Long> times = new ArrayList<>(runs);
        times.sort(null);
        long late = times.stream().filter(at -> at > times.get(2) + CONTACT_MILLIS).count();
        note("the request ran %d times, %d of them later than %d ms after the third crash", times.size(), late, CONTACT_MILLIS);
        return late <= MAX_LATE_RETRIES;
    }
}
