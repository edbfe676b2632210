import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The parts of HTTP/1.1 that the stand-ins need. */
final class Http {
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private Http() {}

    /** The head of a message: its first line, and its headers by lower-case name. */
    record Head(String start, Map<String, String> headers) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    /** An answer; isComplete is false if it was cut off. */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean isComplete) {
        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** One connection of a client. */
    static final class Connection implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;
        /** Number of requests that were answered on this connection. */
        int answered;

        Connection(String host, int port, int timeoutMillis) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), 1000);
            socket.setSoTimeout(timeoutMillis);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void setTimeout(int millis) throws IOException {
            socket.setSoTimeout(millis);
        }

        /** Sends a request and returns its answer; throws IOException if the connection ends before the head of the answer. */
        Answer exchange(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            send(method, path, headers, body);
            Head head = readHead(in);
            if (head == null) throw new EOFException("closed without an answer");
            ByteArrayOutputStream content = new ByteArrayOutputStream();
            boolean isComplete = true;
            try {
                readBody(in, head.headers(), content);
            } catch (IOException e) {
                isComplete = false;
            }
            answered++;
            return new Answer(head.status(), head.headers(), content.toByteArray(), isComplete);
        }

        void send(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
            if (body != null) text.append("Content-Length: ").append(body.length).append("\r\n");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) out.write(body);
            socket.getOutputStream().write(out.toByteArray());
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // The connection is not used any more.
            }
        }
    }

    /** Reads the head of a message; returns null if the connection has ended before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) return null;
                throw new EOFException("the head was cut off");
            }
            bytes.write(next);
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
            if (bytes.size() > MAX_HEAD_BYTES) throw new IOException("the head is too long");
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon > 0) headers.put(lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
        }
        return new Head(lines[0], headers);
    }

    /** Reads the body that the headers announce, and appends it to content. */
    static void readBody(InputStream in, Map<String, String> headers, ByteArrayOutputStream content) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            while (true) {
                int size = Integer.parseInt(readLine(in).trim(), 16);
                readFully(in, size, content);
                readLine(in);
                if (size == 0) return;
            }
        }
        readFully(in, Integer.parseInt(headers.getOrDefault("content-length", "0")), content);
    }

    private static void readFully(InputStream in, int length, ByteArrayOutputStream content) throws IOException {
        byte[] bytes = in.readNBytes(length);
        content.write(bytes);
        if (bytes.length < length) throw new EOFException("the body was cut off");
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) throw new EOFException("a line was cut off");
            if (next == '\n') return line.toString().replace("\r", "");
            line.append((char) next);
        }
    }
}
