import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Requesters, each with a kept connection to one entry instance. Every attempt has an ID of its own. */
final class Clients {
    /** One attempt: when it was sent, where, and how it ended. */
    static final class Attempt {
        final String id;
        final String entry;
        final double sentAt;
        /** Number of requests answered on the connection before. */
        final int answeredBefore;
        volatile int status;
        volatile boolean isClosed;
        volatile double endedAt;

        Attempt(String id, String entry, double sentAt, int answeredBefore) {
            this.id = id;
            this.entry = entry;
            this.sentAt = sentAt;
            this.answeredBefore = answeredBefore;
        }
    }

    final Map<String, Attempt> attempts = new ConcurrentHashMap<>();
    private final AtomicLong lastId = new AtomicLong();
    private final String prefix = Long.toHexString(System.nanoTime() & 0xffffffffL);
    private final Deployment deployment;
    private final Record record;
    volatile boolean isStopped;

    Clients(Deployment deployment, Record record) {
        this.deployment = deployment;
        this.record = record;
    }

    static Map<String, String> headers(String attemptId, int deadlineMillis) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Documents.HOST);
        headers.put("X-Attempt-Id", attemptId);
        headers.put("X-Deadline-Ms", "" + deadlineMillis);
        headers.put("Authorization", "Bearer " + Documents.KEY);
        return headers;
    }

    boolean probe(String entry) {
        try (Http.Connection connection = new Http.Connection(entry, deployment.clientPort(), 2000)) {
            return connection.exchange("GET", Documents.AGAIN + "probe", headers(nextId(), 2000), null).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    String nextId() {
        return prefix + "-" + lastId.incrementAndGet();
    }

    /** Starts a requester that sends a request to entry every intervalMillis, over one connection as long as that is kept. */
    void start(String entry, String path, long intervalMillis) {
        Runner.daemon("client-" + entry, () -> {
            Http.Connection connection = null;
            while (!isStopped) {
                long begun = System.nanoTime();
                connection = sendOne(entry, path, connection);
                Runner.pause(Math.max(0, intervalMillis - (System.nanoTime() - begun) / 1_000_000));
            }
            if (connection != null) connection.close();
        });
    }

    /** Sends one request, on connection if it is not null; returns the connection for the next one, or null. */
    Http.Connection sendOne(String entry, String path, Http.Connection connection) {
        try {
            if (connection == null) connection = new Http.Connection(entry, deployment.clientPort(), 2500);
        } catch (IOException e) {
            return null;
        }
        Attempt attempt = new Attempt(nextId(), entry, record.now(), connection.answered);
        attempts.put(attempt.id, attempt);
        boolean isOnce = path.equals(Documents.ONCE);
        record.line("sent %s %s to %s, request %d of its connection", attempt.id, path, entry, connection.answered + 1);
        try {
            byte[] body = isOnce ? new byte[600] : null;
            Http.Answer answer = connection.exchange(isOnce ? "POST" : "GET", path + "x", headers(attempt.id, 2500), body);
            attempt.status = answer.status();
            attempt.endedAt = record.now();
            record.line("answered %s %d%s", attempt.id, answer.status(), answer.isComplete() ? "" : " cut off");
            if (answer.isComplete() && !"close".equalsIgnoreCase(answer.headers().get("connection"))) return connection;
        } catch (SocketTimeoutException e) {
            attempt.endedAt = record.now();
            record.line("gave up %s", attempt.id);
        } catch (IOException e) {
            attempt.isClosed = true;
            attempt.endedAt = record.now();
            record.line("closed %s: %s", attempt.id, e instanceof EOFException ? "end" : e.getMessage());
        }
        connection.close();
        return null;
    }

    long countStatus(int status) {
        return attempts.values().stream().filter(a -> a.status == status).count();
    }
}
