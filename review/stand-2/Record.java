import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, one line each, with the time since the start of the script. Thread-safe. */
final class Record implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Seconds since the start. */
    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        out.printf(Locale.ROOT, "%9.4f ", now());
        out.printf(Locale.ROOT, format, values);
        out.println();
        out.flush();
    }

    /** Records a line and prints it too. */
    void result(String format, Object... values) {
        line(format, values);
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
