import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/**
 * One of seven runners is faulty for some seconds: the bodies of part of its answers do not end until the caller closes. Requests that run
 * on the sound runners meanwhile must be answered, and no process of the system may end by itself.
 */
public final class EndlessAnswers {
    private static final int RUNNERS = 7;
    private static final int SLOTS = 64;
    private static final int QUEUE = 192;
    private static final long FAULT_MILLIS = 6500;
    private static final int MAX_CLOSED = 3;

    /** Requesters of each entry instance; each sends a request every INTERVAL_MILLIS. */
    private static final int CLIENTS = 60;
    private static final long INTERVAL_MILLIS = 120;
    private static final long RESTART_MILLIS = 1000;

    private static volatile boolean isFaulty;
    private static final double SHARE = Double.parseDouble(System.getenv().getOrDefault("SHARE", "0.45"));

    /** A runner that notes which requests it runs; if it may be faulty, the bodies of some of its answers do not end. */
    private static final class EndlessRunner extends Runner {
        final Map<String, Boolean> ran = new ConcurrentHashMap<>();
        private final boolean mayBeFaulty;

        EndlessRunner(String id, boolean mayBeFaulty, Control control, Record record) throws IOException {
            super(id, Documents.SERVICE, SLOTS, QUEUE, control, record);
            this.mayBeFaulty = mayBeFaulty;
        }

        @Override
        boolean run(Http.Head head, String attempt, OutputStream out) throws IOException {
            ran.put(attempt, true);
            if (!mayBeFaulty || !isFaulty || ThreadLocalRandom.current().nextDouble() >= SHARE) return super.run(head, attempt, out);
            record.line("%s answers %s without end", id, attempt);
            byte[] chunk = new byte[64 * 1024];
            Arrays.fill(chunk, (byte) 'x');
            String start = "HTTP/1.1 200 OK\r\n" + attemptHeader(attempt) + "X-Server-Stamp: " + id + "." + attempt + "\r\n\r\n";
            out.write(start.getBytes(StandardCharsets.ISO_8859_1));
            long sent = 0;
            try {
                while (!isStopped) {
                    out.write(chunk);
                    sent += chunk.length;
                }
            } finally {
                record.line("%s had sent %d bytes of %s when it was closed", id, sent, attempt);
            }
            return false;
        }
    }

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(args[2]));
            Deployment deployment = new Deployment(Path.of(args[0]), Path.of(args[1]), 3, 2, record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
            code = play(deployment, record, isTrouble);
        }
        System.exit(code);
    }

    private static int play(Deployment deployment, Record record, boolean isTrouble) throws Exception {
        Control control = new Control(deployment);
        Clients clients = new Clients(deployment, record);
        deployment.startAll();
        if (!control.replace(Documents.plain(1, 4_194_304, 1000))) return cannotRun(record, "the desired state is not acknowledged");
        List<EndlessRunner> runners = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) runners.add(new EndlessRunner("i-" + i, i == 0, control, record));
        runners.forEach(r -> r.workMillis = 300);
        runners.forEach(Runner::start);
        if (!control.awaitServing(clients::probe)) return cannotRun(record, "the entry instances do not serve");
        for (String entry : deployment.entries) {
            for (int i = 0; i < CLIENTS; i++) clients.start(entry, i % 2 == 0 ? Documents.AGAIN : Documents.ONCE, INTERVAL_MILLIS);
        }
        List<String> ends = new CopyOnWriteArrayList<>();
        for (String entry : deployment.entries) Runner.daemon("platform-" + entry, () -> restart(deployment, entry, ends));
        Runner.pause(5000);
        isFaulty = isTrouble;
        record.line("%s", isTrouble ? "i-0 is faulty from now on" : "nothing is changed");
        Runner.pause(FAULT_MILLIS);
        isFaulty = false;
        record.line("the fault is over");
        Runner.pause(3000);
        clients.isStopped = true;
        Runner.pause(1500);
        return judge(record, ends, clients, runners);
    }

    /** Starts the instance on entry again a moment after it has ended by itself, as the platform does. */
    private static void restart(Deployment deployment, String entry, List<String> ends) {
        try {
            while (true) {
                deployment.awaitEnd(entry);
                ends.add(entry);
                Runner.pause(RESTART_MILLIS);
                deployment.start(entry, false);
            }
        } catch (IOException | InterruptedException e) {
            // The script is ending.
        }
    }

    private static int judge(Record record, List<String> ends, Clients clients, List<EndlessRunner> runners) {
        int closed = 0;
        for (Clients.Attempt attempt : clients.attempts.values()) {
            boolean isOnSound = runners.stream().skip(1).anyMatch(r -> r.ran.containsKey(attempt.id)) && !runners.get(0).ran.containsKey(attempt.id);
            if (!attempt.isClosed || attempt.answeredBefore == 0 || !isOnSound) continue;
            closed++;
            record.line("%s from a kept channel was run by a sound runner and its channel was closed without an answer", attempt.id);
        }
        record.result("served %d of %d requests", clients.countStatus(200), clients.attempts.size());
        record.result("entry instances ended by themselves %d times", ends.size());
        record.result("%d requests from kept channels ran on sound runners and were closed without an answer", closed);
        if (clients.countStatus(200) < 100) return cannotRun(record, "too few requests are served");
        record.result(closed > MAX_CLOSED ? "LOST is broken" : "LOST holds");
        return closed > MAX_CLOSED ? 1 : 0;
    }

    private static int cannotRun(Record record, String reason) {
        record.result("cannot run: %s", reason);
        return 2;
    }
}
