package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Requests that crash their runners come again and again beside many long streams; they must be stopped after three crashes. */
public final class ManyDeadly {
    private static final int CONTACT_MILLIS = 3000;
    private static final int MAX_LATE_RETRIES = 3;
    private static final int HEARTBEAT_MILLIS = 1200;
    private static final int DOWN_MILLIS = 3000;
    private static final int STREAM_TIMEOUT_MILLIS = 15_000;
    private static final int EVENT_MILLIS = 500;
    private static final int EVENTS = 20;
    private static final int RUNNERS = 16;
    private static final int SLOTS = 96;
    private static final int REQUESTS_PER_SECOND = 140;
    private static final int DEADLY_REQUESTS = 24;
    private static final int DEADLY_INTERVAL_MILLIS = 500;
    private static final int WARM_UP_MILLIS = 6000;
    private static final int PLAY_MILLIS = 98_000;

    private static final Map<String, List<Long>> crashesByRequest = new ConcurrentHashMap<>();
    private static final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
    private static PrintWriter record;
    private static volatile boolean stopped;

    private static synchronized void note(String format, Object... values) {
        record.println(System.currentTimeMillis() + " " + String.format(Locale.ROOT, format, values));
        record.flush();
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[2]);
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])));
        int exit = 2;
        try (Cluster cluster = new Cluster(Path.of(args[0]), folder, 3, 3, HEARTBEAT_MILLIS)) {
            if (prepare(cluster)) {
                for (int i = 0; i < RUNNERS; i++) startRunner(cluster, "r" + i, 0, 0, trouble);
                Thread.sleep(2 * HEARTBEAT_MILLIS + CONTACT_MILLIS);
                play(cluster);
                exit = judge() ? 0 : 1;
            }
        } catch (Exception e) {
            note("the case could not run: %s", e);
            e.printStackTrace();
        }
        record.close();
        Runtime.getRuntime().halt(exit);
    }

    private static boolean prepare(Cluster cluster) throws IOException, InterruptedException {
        cluster.start();
        if (!cluster.callAnyControl("POST", "/anvilslip/Config.Replace", document(), Duration.ofSeconds(20))) {
            note("the configuration was not acknowledged");
            return false;
        }
        if (!cluster.awaitReady(Duration.ofSeconds(20))) {
            note("the entry instances did not become ready");
            return false;
        }
        return true;
    }

    private static String document() {
        String engine = "{\"Slots\":" + SLOTS + ",\"KvCapacity\":122465,\"Models\":[{\"Name\":\"m1\",\"WeightsMb\":34300.0,\"LoadS\":2.0,\"Adapters\":0,"
            + "\"AdapterMb\":40.0}],\"WeightsMb\":35200.0,\"AdapterSlots\":6,\"LoadsPerS\":2.8}";
        String route = "{\"Name\":\"guide\",\"Host\":\"shop.example\",\"PathPrefix\":\"/guide/\",\"Type\":\"streaming\",\"TimeoutMs\":" + STREAM_TIMEOUT_MILLIS
            + ",\"TargetLatencyMs\":1000,\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":1,\"Public\":false,\"Sticky\":true,\"Resumable\":false,"
            + "\"TargetGapMs\":1000}";
        return "{\"Version\":1,\"Routes\":[" + route + "],\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConnections\":500,"
            + "\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":" + engine + "}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
            + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[\"key-1\"]}]}";
    }

    private static void startRunner(Cluster cluster, String name, int boot, int port, boolean trouble) throws IOException {
        String fields = ",\"Stage\":\"both\",\"Models\":[{\"Name\":\"m1\",\"Version\":1,\"Adapters\":[]}]";
        Runner[] self = new Runner[1];
        self[0] = new Runner("i-" + name + "-" + boot, "llm", cluster.standInHost(), port, SLOTS, fields, HEARTBEAT_MILLIS, cluster, (request, socket, out) -> {
            String body = new String(request.body.readNBytes(request.contentLength), StandardCharsets.UTF_8);
            if (request.target.equals("/anvilslip/report")) {
                Runner.respond(out, 200, "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m1\",\"Version\":1,\"Adapters\":[]}],\"Busy\":false,\"Sequence\":0,"
                    + "\"Queued\":0,\"Active\":0,\"KvUsed\":0,\"KvTotal\":122465,\"Handles\":0}", "");
                return;
            }
            if (body.startsWith("deadly")) {
                note("ran %s at %s for %s", body, self[0].id, request.header("x-attempt-id"));
                if (trouble) {
                    crashesByRequest.computeIfAbsent(body, k -> new CopyOnWriteArrayList<>()).add(System.currentTimeMillis());
                    crash(cluster, self[0], name, boot);
                    throw new IOException("crashed");
                }
            }
            stream(self[0], request, out, body.startsWith("deadly") ? 2 : EVENTS);
        });
        self[0].start();
    }

    private static void crash(Cluster cluster, Runner runner, String name, int boot) {
        synchronized (runner) {
            if (!runner.isRunning()) return;
            runner.crash();
        }
        note("crashed %s", runner.id);
        Thread restart = new Thread(() -> {
            try {
                Thread.sleep(DOWN_MILLIS);
                if (!stopped) startRunner(cluster, name, boot + 1, runner.port(), true);
            } catch (IOException | InterruptedException e) {
                note("runner %s did not start again: %s", name, e);
            }
        });
        restart.setDaemon(true);
        restart.start();
    }

    private static void stream(Runner runner, Runner.Request request, OutputStream out, int events) throws IOException, InterruptedException {
        String attempt = request.header("x-attempt-id");
        out.write(("HTTP/1.1 200 OK\r\n" + runner.stamp(attempt) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 1; i <= events; i++) {
            byte[] event = ("id: " + i + "\ndata: " + attempt + " " + i + "\n\n").getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(event);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            if (i < events) Thread.sleep(EVENT_MILLIS);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void play(Cluster cluster) throws InterruptedException {
        long startedAt = System.currentTimeMillis();
        int sent = 0;
        int deadly = 0;
        while (System.currentTimeMillis() - startedAt < PLAY_MILLIS) {
            long elapsed = System.currentTimeMillis() - startedAt;
            while (sent < elapsed * REQUESTS_PER_SECOND / 1000) submit(cluster, "stream " + sent, sent++);
            while (deadly < (elapsed - WARM_UP_MILLIS) / DEADLY_INTERVAL_MILLIS) submit(cluster, "deadly " + deadly % DEADLY_REQUESTS, 1_000_000 + deadly++);
            Thread.sleep(5);
        }
        stopped = true;
        Thread.sleep(1000);
    }

    private static void submit(Cluster cluster, String body, int number) {
        String entry = cluster.entries.get(number % cluster.entries.size());
        Thread thread = new Thread(null, () -> {
            String outcome = send(cluster, entry, String.format("%016x", number), body);
            outcomes.computeIfAbsent(body.substring(0, 6) + " " + outcome, k -> new AtomicInteger()).incrementAndGet();
            if (body.startsWith("deadly")) note("sent %s to %s: %s", body, entry, outcome);
        }, "client", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private static String send(Cluster cluster, String entry, String attempt, String body) {
        try (Socket socket = new Socket()) {
            socket.connect(cluster.frontendAddress(entry), 1000);
            socket.setSoTimeout(STREAM_TIMEOUT_MILLIS + 1000);
            String head = "POST /guide/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Model: m1\r\nX-Token-Count: 600,40\r\n"
                + "X-Prompt-Prefix: 5c1e07a2:300," + attempt + ":300\r\nX-Deadline-Ms: " + STREAM_TIMEOUT_MILLIS + "\r\nAuthorization: Bearer key-1\r\n"
                + "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream(), 512);
            String status = Runner.readLine(in);
            if (status == null) return "closed";
            byte[] rest = in.readAllBytes();
            boolean whole = new String(rest, StandardCharsets.ISO_8859_1).endsWith("0\r\n\r\n");
            return status.split(" ")[1] + (status.contains(" 200 ") && !whole ? " cut" : "");
        } catch (IOException e) {
            return "failed";
        }
    }

    /** True if the rule held. */
    private static boolean judge() {
        outcomes.forEach((outcome, count) -> note("outcome %s: %d", outcome, count.get()));
        int broken = 0;
        for (Map.Entry<String, List<Long>> entry : crashesByRequest.entrySet()) {
            List<Long> crashes = new ArrayList<>(entry.getValue());
            crashes.sort(null);
            if (crashes.size() < 3) continue;
            long late = crashes.stream().filter(at -> at > crashes.get(2) + CONTACT_MILLIS).count();
            note("%s crashed %d runners, %d of them later than %d ms after the third", entry.getKey(), crashes.size(), late, CONTACT_MILLIS);
            if (late > MAX_LATE_RETRIES) broken++;
        }
        note("%d requests break the rule", broken);
        return broken == 0;
    }
}
