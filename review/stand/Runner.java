package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for a runner: sends heartbeats and serves one request at a time on each connection. */
final class Runner implements AutoCloseable {
    /** A request whose body has not been read. */
    static final class Request {
        String method;
        String target;
        final Map<String, String> headers = new LinkedHashMap<>();
        int contentLength;
        InputStream body;

        String header(String name) {
            return headers.get(name);
        }
    }

    interface Handler {
        /** Reads the body and writes the response. Closes the connection if it throws. */
        void handle(Request request, Socket socket, OutputStream out) throws IOException, InterruptedException;
    }

    /** Size of the receive window, small so that a runner that does not read blocks the writer. */
    private static final int WINDOW_BYTES = 64 * 1024;

    final String id;
    private final String service;
    private final String host;
    private final int port;
    private final int slots;
    private final String extraFields;
    private final Cluster cluster;
    private final Handler handler;
    private final int heartbeatMillis;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile long bornMillis;
    private long sequence;
    private ServerSocket listener;
    private volatile boolean running;
    private Thread heartbeats;

    Runner(String id, String service, String host, int port, int slots, String extraFields, int heartbeatMillis, Cluster cluster, Handler handler)
        throws IOException {
        this.id = id;
        this.service = service;
        this.host = host;
        this.slots = slots;
        this.extraFields = extraFields;
        this.cluster = cluster;
        this.handler = handler;
        this.heartbeatMillis = heartbeatMillis;
        this.port = port == 0 ? freePort(host) : port;
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    long bornMillis() {
        return bornMillis;
    }

    int port() {
        return port;
    }

    /** Starts a new boot: listens, then sends its first heartbeat. */
    synchronized void start() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.setReceiveBufferSize(WINDOW_BYTES);
        socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
        listener = socket;
        bornMillis = System.currentTimeMillis();
        sequence = 0;
        running = true;
        daemon(() -> accept(socket));
        heartbeats = daemon(() -> heartbeatLoop(bornMillis));
    }

    private static Thread daemon(Runnable action) {
        Thread thread = new Thread(null, action, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void heartbeatLoop(long boot) {
        try {
            while (running && bornMillis == boot) {
                heartbeat("ready");
                Thread.sleep(heartbeatMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a heartbeat to the control instances in turn until one acknowledges it. */
    boolean heartbeat(String state) throws InterruptedException {
        String body;
        synchronized (this) {
            body = "{\"Service\":\"" + service + "\",\"Address\":\"" + host + ":" + port + "\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":" + slots
                + ",\"State\":\"" + state + "\",\"ColdRemainingMs\":0" + extraFields + ",\"Sequence\":" + (++sequence) + ",\"born\":" + bornMillis + "}";
        }
        for (String control : cluster.controls) {
            if (cluster.callControl(control, "POST", "/anvilslip/Runners.Heartbeat/" + id, body) == 200) return true;
        }
        return false;
    }

    /** Ends the boot as a crash does: no more heartbeats, connections reset, the port refuses. */
    synchronized void crash() {
        running = false;
        try {
            listener.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        for (Socket socket : open) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                open.remove(socket);
            }
        }
    }

    boolean isRunning() {
        return running;
    }

    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                open.add(connection);
                daemon(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream(), 8192);
            OutputStream out = connection.getOutputStream();
            while (running) {
                Request request = readHead(in);
                if (request == null) return;
                String expected = request.header("x-expected-instance");
                if (expected != null && !expected.equals(id)) {
                    in.readNBytes(request.contentLength);
                    respond(out, 421, "", "X-Not-Executed: 1\r\nX-Attempt-Id: " + request.header("x-attempt-id") + "\r\n");
                    continue;
                }
                handler.handle(request, connection, out);
            }
        } catch (IOException e) {
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(connection);
        }
    }

    static void respond(OutputStream out, int status, String body, String headers) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Type: text/plain\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(bytes);
        out.write(all.toByteArray());
        out.flush();
    }

    String stamp(String attempt) {
        return "X-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: " + id + "." + attempt + "\r\n";
    }

    private static Request readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Request request = new Request();
        String[] words = line.split(" ");
        request.method = words[0];
        request.target = words[1];
        request.body = in;
        while (!(line = readLine(in)).isEmpty()) {
            int colon = line.indexOf(':');
            request.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        String length = request.header("content-length");
        request.contentLength = length == null ? 0 : Integer.parseInt(length);
        return request;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c;
        while ((c = in.read()) != '\n') {
            if (c < 0) return null;
            if (c != '\r') line.write(c);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Duration seconds(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }

    @Override
    public void close() {
        if (running) crash();
    }
}
