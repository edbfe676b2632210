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
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The deregistration of a runner's earlier boot arrives after its next boot, with the same id, has registered. */
public final class LateGoodbye {
    private static final int HEARTBEAT_MILLIS = 1200;
    private static final int DELAY_MILLIS = 4000;
    private static final int EXIT_MILLIS = 1000;
    private static final int SETTLE_MILLIS = 6000;
    private static final int PLAY_MILLIS = 20_000;
    private static final int SEND_INTERVAL_MILLIS = 100;
    private static PrintWriter record;

    private static synchronized void note(String format, Object... values) {
        record.println(System.currentTimeMillis() + " " + String.format(Locale.ROOT, format, values));
        record.flush();
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])));
        int exit = 2;
        try (Cluster cluster = new Cluster(Path.of(args[0]), Path.of(args[2]), 3, 2, HEARTBEAT_MILLIS)) {
            cluster.start();
            if (cluster.callAnyControl("POST", "/anvilslip/Config.Replace", document(), Duration.ofSeconds(20)) && cluster.awaitReady(Duration.ofSeconds(20))) {
                Runner orders = runner(cluster, "i-orders", "orders");
                Runner other = runner(cluster, "i-status", "status");
                orders.start();
                other.start();
                Thread.sleep(SETTLE_MILLIS);
                replace(cluster, orders, trouble);
                Thread.sleep(SETTLE_MILLIS);
                exit = judge(play(cluster)) ? 0 : 1;
            }
        } catch (Exception e) {
            note("the case could not run: %s", e);
            e.printStackTrace();
        }
        record.close();
        Runtime.getRuntime().halt(exit);
    }

    private static String document() {
        return "{\"Version\":1,\"Routes\":[" + route("orders") + "," + route("status") + "],\"Services\":[" + service("orders") + "," + service("status")
            + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[\"key-1\"]}]}";
    }

    private static String route(String name) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"shop.example\",\"PathPrefix\":\"/" + name + "/\",\"Type\":\"non_idempotent\",\"TimeoutMs\":2500,"
            + "\"TargetLatencyMs\":200,\"Priority\":1,\"Service\":\"" + name + "\",\"MaxAttempts\":1,\"Public\":false}";
    }

    private static String service(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}";
    }

    private static Runner runner(Cluster cluster, String id, String service) throws IOException {
        Runner[] self = new Runner[1];
        self[0] = new Runner(id, service, cluster.standInHost(), 0, 6, "", HEARTBEAT_MILLIS, cluster, (request, socket, out) -> {
            request.body.readNBytes(request.contentLength);
            String attempt = request.header("x-attempt-id");
            note("ran %s at %s", attempt, id);
            Thread.sleep(30);
            Runner.respond(out, 200, "done", self[0].stamp(attempt));
        });
        return self[0];
    }

    /** The runner signs off and exits, and starts again under its id. The call to the first control instance is held up on its way. */
    private static void replace(Cluster cluster, Runner runner, boolean trouble) throws Exception {
        String path = "/anvilslip/Runners.Deregister/" + runner.id;
        String body = "{\"born\":" + runner.bornMillis() + "}";
        Thread late = new Thread(() -> {
            try {
                Thread.sleep(DELAY_MILLIS);
                note("the held-up deregistration of the earlier boot arrives: %d", cluster.callControl(cluster.controls.get(0), "POST", path, body));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        if (trouble) late.start();
        if (trouble) Thread.sleep(1000);
        note("deregistration acknowledged: %d", cluster.callControl(cluster.controls.get(1), "POST", path, body));
        Thread.sleep(EXIT_MILLIS);
        runner.crash();
        Thread.sleep(500);
        runner.start();
        note("%s runs again, born %d", runner.id, runner.bornMillis());
        late.join();
    }

    private static Map<String, Integer> play(Cluster cluster) throws InterruptedException {
        Map<String, Integer> outcomes = new TreeMap<>();
        long endsAt = System.currentTimeMillis() + PLAY_MILLIS;
        for (int i = 0; System.currentTimeMillis() < endsAt; i++) {
            String kind = i % 2 == 0 ? "orders" : "status";
            String attempt = String.format("%016x", i);
            String outcome = send(cluster, cluster.entries.get(i / 2 % 2), kind, attempt);
            note("sent %s for %s: %s", attempt, kind, outcome);
            outcomes.merge(kind + " " + outcome, 1, Integer::sum);
            Thread.sleep(SEND_INTERVAL_MILLIS);
        }
        return outcomes;
    }

    private static String send(Cluster cluster, String entry, String kind, String attempt) {
        try (Socket socket = new Socket()) {
            socket.connect(cluster.frontendAddress(entry), 1000);
            socket.setSoTimeout(3500);
            socket.getOutputStream().write(("POST /" + kind + "/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}").getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String status = Runner.readLine(in);
            return status == null ? "closed" : status.split(" ")[1];
        } catch (IOException e) {
            return "failed";
        }
    }

    /** True if the rule held: no kind of request is served less than a quarter as often as all. */
    private static boolean judge(Map<String, Integer> outcomes) {
        outcomes.forEach((outcome, count) -> note("outcome %s: %d", outcome, count));
        int orders = sum(outcomes, "orders ");
        int all = sum(outcomes, "");
        double servedOrders = outcomes.getOrDefault("orders 200", 0) / (double) orders;
        double servedAll = (outcomes.getOrDefault("orders 200", 0) + outcomes.getOrDefault("status 200", 0)) / (double) all;
        note("served: %.2f of orders, %.2f of all", servedOrders, servedAll);
        return servedOrders >= servedAll / 4;
    }

    private static int sum(Map<String, Integer> outcomes, String prefix) {
        return outcomes.entrySet().stream().filter(e -> e.getKey().startsWith(prefix)).mapToInt(Map.Entry::getValue).sum();
    }
}
