import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound runner of a plain service: it sends heartbeats, runs as many requests at once as it has slots, lets some more wait, turns others
 * away with X-Not-Executed, and answers 421 to requests for another runner. Subclasses add what a case needs.
 */
class Runner implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 1200;

    final String id;
    final String service;
    final long bornMillis = System.currentTimeMillis();
    final Control control;
    final Record record;
    private final ServerSocket listener;
    private final int slotCount;
    private final Semaphore slots;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    volatile int queueLimit;
    volatile int workMillis = 40;
    volatile boolean isSendingHeartbeats = true;
    volatile boolean isStopped;

    Runner(String id, String service, int slotCount, int queueLimit, Control control, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.slotCount = slotCount;
        this.slots = new Semaphore(slotCount, true);
        this.queueLimit = queueLimit;
        this.control = control;
        this.record = record;
        this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    }

    void start() {
        daemon("runner-" + id, this::accept);
        daemon("heartbeat-" + id, this::sendHeartbeats);
    }

    static Thread daemon(String name, Runnable action) {
        Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void sendHeartbeats() {
        while (!isStopped) {
            if (isSendingHeartbeats) control.callAny("POST", "/anvilslip/Runners.Heartbeat/" + id, heartbeat("ready"));
            pause(HEARTBEAT_MILLIS);
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    String heartbeat(String state) {
        return "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + listener.getLocalPort() + "\",\"Zone\":\"z1\",\"Version\":\"v1\","
            + "\"Slots\":" + slotCount + ",\"State\":\"" + state + "\",\"ColdRemainingMs\":0,\"Sequence\":" + sequence.incrementAndGet()
            + ",\"born\":" + bornMillis + moreOfHeartbeat() + "}";
    }

    /** Further fields of each heartbeat, each after a comma. */
    String moreOfHeartbeat() {
        return "";
    }

    private void accept() {
        while (!isStopped) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                daemon("connection-" + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (!isStopped) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                Http.readBody(in, head.headers(), body);
                if (!handle(head, body.toByteArray(), socket.getOutputStream())) return;
            }
        } catch (IOException e) {
            // The caller has left, or this runner has stopped.
        } finally {
            open.remove(socket);
        }
    }

    /** Handles one request; returns false if the connection is to be closed. */
    private boolean handle(Http.Head head, byte[] body, OutputStream out) throws IOException {
        Map<String, String> headers = head.headers();
        if (head.start().startsWith("GET /healthz")) {
            answer(out, 200, "X-Instance-Id: " + id + "\r\n", "well");
            return true;
        }
        String attempt = headers.getOrDefault("x-attempt-id", "");
        if (!id.equals(headers.get("x-expected-instance"))) {
            answer(out, 421, attemptHeader(attempt) + "X-Not-Executed: 1\r\n", "another runner");
            return true;
        }
        if (handleOrder(head, new String(body, StandardCharsets.UTF_8), out)) return true;
        onArrival(attempt);
        if (!slots.tryAcquire()) {
            if (waiting.incrementAndGet() > queueLimit) {
                waiting.decrementAndGet();
                record.line("%s turned %s away", id, attempt);
                onTurnedAway(attempt);
                answer(out, 503, attemptHeader(attempt) + extraHeaders() + "X-Not-Executed: 1\r\n", "full");
                return true;
            }
            slots.acquireUninterruptibly();
            waiting.decrementAndGet();
        }
        try {
            if (isStopped) return false;
            record.line("%s runs %s", id, attempt);
            return run(head, attempt, out);
        } finally {
            slots.release();
        }
    }

    /** Answers a question or an order of the system that takes no slot; returns false if the request is none. */
    boolean handleOrder(Http.Head head, String body, OutputStream out) throws IOException {
        return false;
    }

    /** Called with each request that is for this runner. */
    void onArrival(String attempt) {}

    /** Called with each request that finds no room. */
    void onTurnedAway(String attempt) {}

    /** Further headers of each answer. */
    String extraHeaders() {
        return "";
    }

    /** Runs a request and answers it; returns false if the connection is to be closed. */
    boolean run(Http.Head head, String attempt, OutputStream out) throws IOException {
        pause(workMillis);
        if (isStopped) return false;
        answer(out, 200, attemptHeader(attempt) + "X-Server-Stamp: " + id + "." + attempt + "\r\n" + extraHeaders(), "done " + attempt);
        return true;
    }

    static String attemptHeader(String attempt) {
        return "X-Attempt-Id: " + attempt + "\r\n";
    }

    static void answer(OutputStream out, int status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        String head = "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Type: text/plain\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.getBytes(StandardCharsets.ISO_8859_1));
        message.write(bytes);
        out.write(message.toByteArray());
    }

    /** Ends this runner as its process would: it closes all connections and listens no more. */
    @Override
    public void close() {
        isStopped = true;
        try {
            listener.close();
            for (Socket socket : open) socket.close();
        } catch (IOException e) {
            // It is ending anyway.
        }
    }
}
