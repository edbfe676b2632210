import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The runners of a service say in all their answers that they are brittle. From ContactMs later they let fewer requests wait, and one that
 * turns more than N requests away in a second falls over and is back after some seconds. Then many users come at once.
 */
public final class BrittleRunners {
    private static final int RUNNERS = 4;
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;
    private static final int BRITTLE_QUEUE = 6;
    private static final int MAX_TURNED_AWAY = 20;
    private static final long CONTACT_MILLIS = 3000;
    private static final long BRITTLE_MILLIS = 8000;
    private static final long BURST_MILLIS = 4500;
    private static final long DOWN_MILLIS = 3000;
    private static final double MAX_FALLS = 2 + RUNNERS / 10.0;

    private static volatile boolean isBrittle;
    private static volatile boolean isQueueShort;
    private static final List<String> FALLS = new ArrayList<>();

    /** A runner that falls over as the news page says; a new process with another ID takes its place. */
    private static final class BrittleRunner extends Runner {
        final Map<String, Boolean> ran = new ConcurrentHashMap<>();
        private final ArrayDeque<Double> turnedAway = new ArrayDeque<>();
        private final int number;
        private final int boot;

        BrittleRunner(int number, int boot, Control control, Record record) throws IOException {
            super("i-" + number + "-" + boot, Documents.SERVICE, SLOTS, QUEUE, control, record);
            this.number = number;
            this.boot = boot;
        }

        @Override
        void onArrival(String attempt) {
            queueLimit = isQueueShort ? BRITTLE_QUEUE : QUEUE;
        }

        @Override
        String extraHeaders() {
            return isBrittle ? "Server-Brittle: " + MAX_TURNED_AWAY + "\r\n" : "";
        }

        @Override
        boolean run(Http.Head head, String attempt, OutputStream out) throws IOException {
            ran.put(attempt, true);
            return super.run(head, attempt, out);
        }

        @Override
        synchronized void onTurnedAway(String attempt) {
            double now = record.now();
            turnedAway.addLast(now);
            while (turnedAway.getFirst() < now - 1) turnedAway.removeFirst();
            if (!isQueueShort || isStopped || turnedAway.size() <= MAX_TURNED_AWAY) return;
            synchronized (FALLS) {
                FALLS.add(id);
            }
            record.line("%s has turned %d requests away within a second and falls over", id, turnedAway.size());
            close();
            daemon("restart-" + number, this::startAgain);
        }

        private void startAgain() {
            pause(DOWN_MILLIS);
            try {
                new BrittleRunner(number, boot + 1, control, record).start();
            } catch (IOException e) {
                record.line("%s cannot start again: %s", id, e.getMessage());
            }
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
        if (!control.replace(Documents.plain(1, 4_194_304, 193))) return cannotRun(record, "the desired state is not acknowledged");
        List<BrittleRunner> runners = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) runners.add(new BrittleRunner(i, 1, control, record));
        runners.forEach(Runner::start);
        if (!control.awaitServing(clients::probe)) return cannotRun(record, "the entry instances do not serve");
        addClients(deployment, clients);
        Runner.pause(6000);
        isBrittle = isTrouble;
        record.line("%s", isTrouble ? "the runners are brittle" : "the runners stay as they are");
        Runner.pause(CONTACT_MILLIS);
        isQueueShort = isTrouble;
        // Many users come at once.
        Clients more = new Clients(deployment, record);
        addClients(deployment, more);
        Runner.pause(BURST_MILLIS);
        more.isStopped = true;
        record.line("the burst is over");
        Runner.pause(BRITTLE_MILLIS - BURST_MILLIS);
        isQueueShort = false;
        isBrittle = false;
        clients.isStopped = true;
        Runner.pause(2000);
        clients.attempts.putAll(more.attempts);
        return judge(record, clients);
    }

    /** Requesters that ask for about nine tenths of what the runners can do. */
    private static void addClients(Deployment deployment, Clients clients) {
        for (String entry : deployment.entries) {
            for (int i = 0; i < 20; i++) clients.start(entry, i % 2 == 0 ? Documents.AGAIN : Documents.ONCE, 80);
        }
    }

    private static int judge(Record record, Clients clients) {
        long lost = clients.attempts.values().stream().filter(a -> a.status == 502).count();
        record.result("served %d of %d requests, refused %d", clients.countStatus(200), clients.attempts.size(), clients.countStatus(503));
        record.result("%d requests were answered 502", lost);
        record.result("the runners fell over %d times; %.1f are allowed", FALLS.size(), MAX_FALLS);
        if (clients.countStatus(200) < 100) return cannotRun(record, "too few requests are served");
        record.result(FALLS.size() > MAX_FALLS ? "LIMIT is broken" : "LIMIT holds");
        return FALLS.size() > MAX_FALLS ? 1 : 0;
    }

    private static int cannotRun(Record record, String reason) {
        record.result("cannot run: %s", reason);
        return 2;
    }
}
