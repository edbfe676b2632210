import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Three of twenty runners leave at the same moment. The control instance that has just acknowledged the last of them loses power. From
 * ContactMs later on, and later than DrainMs after the acknowledgement, no request may reach that runner.
 */
public final class LostSignOff {
    private static final int RUNNERS = 20;
    private static final double DRAIN_S = 2.0;
    private static final double CONTACT_S = 3.0;
    private static final double DARK_S = 5.0;

    /** Pause between the leaving of one runner and of the next. */
    private static final long LEAVING_GAP_MILLIS = 2;

    /** A runner that notes when requests reach it. */
    private static final class Leaver extends Runner {
        final List<Double> arrivals = new ArrayList<>();
        final List<String> arrived = new ArrayList<>();

        Leaver(String id, Control control, Record record) throws IOException {
            super(id, Documents.SERVICE, 6, 24, control, record);
        }

        @Override
        synchronized void onArrival(String attempt) {
            arrivals.add(record.now());
            arrived.add(attempt);
        }

        synchronized long arrivalsSince(double time) {
            return arrivals.stream().filter(at -> at > time).count();
        }
    }

    private static final Map<String, String> HEADERS = Map.of("Host", "control", "Content-Type", "application/json");

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
        List<Leaver> runners = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) runners.add(new Leaver("i-" + i, control, record));
        runners.forEach(Runner::start);
        if (!control.awaitServing(clients::probe)) return cannotRun(record, "the entry instances do not serve");
        for (String entry : deployment.entries) {
            for (int i = 0; i < 5; i++) {
                clients.start(entry, Documents.AGAIN, 50);
                clients.start(entry, Documents.ONCE, 50);
            }
        }
        Runner.pause(4000);

        String host = deployment.controls.get(2);
        List<Leaver> leavers = busiest(runners, record.now() - 2);
        List<Http.Connection> channels = new ArrayList<>();
        // All three send their heartbeats there. Two report that they drain and go on with their heartbeats; the third signs off at once.
        leavers.forEach(r -> r.isSendingHeartbeats = false);
        for (int i = 0; i < leavers.size(); i++) channels.add(new Http.Connection(host, deployment.controlPort(), 1000));
        for (int beat = 0; beat < 3; beat++) {
            if (beat > 0) Runner.pause(1100);
            for (int i = 0; i < leavers.size(); i++) {
                Leaver runner = leavers.get(i);
                int status = channels.get(i).exchange("POST", heartbeatPath(runner), HEADERS, bytes(runner.heartbeat("ready"))).status();
                if (status != 200) return cannotRun(record, "a heartbeat is not acknowledged");
            }
        }
        Runner.pause(150);
        for (int i = 0; i < 2; i++) {
            Leaver runner = leavers.get(i);
            Http.Connection channel = channels.get(i);
            Runner.daemon("leave-" + runner.id, () -> {
                reportDraining(runner, channel, host, record);
                drainOn(runner, control);
            });
            Runner.pause(LEAVING_GAP_MILLIS);
        }
        Leaver last = leavers.get(2);
        byte[] signOff = bytes("{\"born\":" + last.bornMillis + "}");
        int status = channels.get(2).exchange("POST", "/anvilslip/Runners.Deregister/" + last.id, HEADERS, signOff).status();
        if (isTrouble) deployment.kill(host);
        double ackedAt = record.now();
        if (status != 200) return cannotRun(record, "the sign-off is not acknowledged");
        record.line("%s signed off at %s: %d%s", last.id, host, status, isTrouble ? "; power lost there" : "");

        Runner.pause((long) (DARK_S * 1000));
        double startAt = record.now();
        if (isTrouble) deployment.start(host, false);
        Runner.pause(2500);
        clients.isStopped = true;
        Runner.pause(1500);
        return judge(record, clients, last, ackedAt, startAt);
    }

    /** The three runners that have had most requests since a time. */
    private static List<Leaver> busiest(List<Leaver> runners, double since) {
        List<Leaver> sorted = new ArrayList<>(runners);
        sorted.sort(Comparator.comparingLong((Leaver r) -> -r.arrivalsSince(since)));
        return sorted.subList(0, 3);
    }

    private static String heartbeatPath(Runner runner) {
        return "/anvilslip/Runners.Heartbeat/" + runner.id;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void reportDraining(Leaver runner, Http.Connection channel, String host, Record record) {
        try {
            int status = channel.exchange("POST", heartbeatPath(runner), HEADERS, bytes(runner.heartbeat("draining"))).status();
            record.line("%s reported to %s that it drains: %d", runner.id, host, status);
        } catch (IOException e) {
            record.line("%s was not answered by %s, and reports to another one", runner.id, host);
        }
    }

    /** Goes on with the heartbeats of a runner that drains. */
    private static void drainOn(Leaver runner, Control control) {
        Runner.daemon("drain-" + runner.id, () -> {
            while (!runner.isStopped) {
                control.callAny("POST", "/anvilslip/Runners.Heartbeat/" + runner.id, runner.heartbeat("draining"));
                Runner.pause(1200);
            }
        });
    }

    private static int judge(Record record, Clients clients, Leaver last, double ackedAt, double startAt) {
        // In touch are the machines from ContactMs after the power loss until the control instance starts again.
        double from = ackedAt + Math.max(DRAIN_S, CONTACT_S);
        int count = 0;
        int total = 0;
        synchronized (last) {
            for (int i = 0; i < last.arrivals.size(); i++) {
                double at = last.arrivals.get(i);
                if (at > ackedAt + DRAIN_S) total++;
                Clients.Attempt attempt = clients.attempts.get(last.arrived.get(i));
                if (attempt != null && attempt.sentAt > from && at < startAt) count++;
            }
        }
        record.result("served %d of %d requests", clients.countStatus(200), clients.attempts.size());
        record.result("%d requests reached %s later than DrainMs after its sign-off was acknowledged", total, last.id);
        record.result("%d of them were sent by requesters, taken and passed on by machines in touch", count);
        if (clients.countStatus(200) * 2 < clients.attempts.size()) return cannotRun(record, "too few requests are served");
        record.result(count > 0 ? "DRAIN is broken" : "DRAIN holds");
        return count > 0 ? 1 : 0;
    }

    private static int cannotRun(Record record, String reason) {
        record.result("cannot run: %s", reason);
        return 2;
    }
}
