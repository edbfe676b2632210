import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Control and entry instances of one small deployment, each in a process of its own, on loopback addresses and free ports. */
final class Deployment implements AutoCloseable {
    private static final int PORTS = 7;
    private static final int TRIES = 50;

    final List<String> controls = new ArrayList<>();
    final List<String> entries = new ArrayList<>();
    private final Path root;
    private final Path folder;
    private final Record record;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Map<String, Integer> starts = new ConcurrentHashMap<>();
    private int basePort;
    private volatile boolean isClosed;

    Deployment(Path root, Path folder, int controlCount, int entryCount, Record record) throws IOException {
        this.root = root;
        this.folder = folder;
        this.record = record;
        for (int i = 0; i < TRIES; i++) {
            int network = ThreadLocalRandom.current().nextInt(30, 250);
            controls.clear();
            entries.clear();
            for (int n = 1; n <= controlCount; n++) controls.add("127." + network + ".1." + n);
            for (int n = 1; n <= entryCount; n++) entries.add("127." + network + ".2." + n);
            basePort = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            if (arePortsFree()) return;
        }
        throw new IOException("no free ports");
    }

    private boolean arePortsFree() {
        List<String> hosts = new ArrayList<>(controls);
        hosts.addAll(entries);
        for (String host : hosts) {
            for (int i = 0; i < PORTS; i++) {
                try (ServerSocket probe = new ServerSocket(basePort + i, 1, InetAddress.getByName(host))) {
                    continue;
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    int clientPort() {
        return basePort + 3;
    }

    int readinessPort() {
        return basePort + 4;
    }

    int controlPort() {
        return basePort + 5;
    }

    int directoryPort() {
        return basePort + 6;
    }

    void startAll() throws IOException {
        for (String host : controls) start(host, true);
        for (String host : entries) start(host, true);
    }

    /** Starts the instance on host with the command of the deploy file; isFirst is true at the first start of the whole system. */
    void start(String host, boolean isFirst) throws IOException {
        if (isClosed) throw new IOException("the deployment is closed");
        boolean isControl = controls.contains(host);
        Path home = Files.createDirectories(folder.resolve(host));
        Path settings = home.resolve("settings.json");
        Files.writeString(settings, settings(host, home, isFirst));
        List<String> command = new ArrayList<>(List.of("java", "@deploy/java.options"));
        if (isControl) command.addAll(List.of("-Xms48m", "-Xmn20m"));
        command.addAll(List.of("-cp", "target/platform/anvilslip.jar", "anvilslip.platform.MainKt", "--settings", "" + settings));
        File log = home.resolve("log-" + starts.merge(host, 1, Integer::sum)).toFile();
        Process process = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true).redirectOutput(log).start();
        processes.put(host, process);
        process.onExit().thenAccept(p -> record.line("process %s of %s ended with %d", p.pid(), host, p.exitValue()));
        record.line("process %d started on %s", process.pid(), host);
    }

    private String settings(String host, Path home, boolean isFirst) {
        boolean isControl = controls.contains(host);
        StringBuilder seeds = new StringBuilder();
        for (String seed : controls.subList(0, Math.min(3, controls.size()))) {
            seeds.append(seeds.isEmpty() ? "" : ", ").append('"').append(seed).append('"');
        }
        String role = isControl
            ? "\"control\": \"" + host + ":" + controlPort() + "\", \"directory\": \"" + host + ":" + directoryPort()
                + "\", \"dataFolder\": \"" + home.resolve("data") + "\",\n"
            : "\"clients\": \"" + host + ":" + clientPort() + "\", \"readiness\": \"" + host + ":" + readinessPort() + "\",\n";
        return "{\n  \"instance\": \"" + host + "\", \"host\": \"" + host + "\", \"zone\": \"z1\", \"region\": \"r1\",\n"
            + "  \"peerPort\": " + basePort + ", \"metricsPort\": " + (basePort + 2) + ", \"seeds\": [" + seeds + "],\n  " + role
            + "  \"mayFound\": " + isFirst + ", \"toleratedLosses\": 1, \"capacity\": " + (isControl ? "0.45" : "0.75") + ",\n"
            + "  \"heartbeat\": \"1200ms\", \"shutdownTime\": \"8s\", \"retryWindow\": \"10s\", \"retryShare\": 0.2,\n"
            + "  \"retryReserve\": 58, \"zones\": {\"z1\":\"r1\"}, \"orderPause\": \"3000ms\", \"fencingChecked\": true\n}\n";
    }

    boolean isRunning(String host) {
        return processes.get(host).isAlive();
    }

    /** Waits until the process on host ends; throws IOException if that is because the deployment is closed. */
    void awaitEnd(String host) throws IOException, InterruptedException {
        processes.get(host).waitFor();
        if (isClosed) throw new IOException("the deployment is closed");
    }

    /** Kills the process on host at once. */
    void kill(String host) {
        processes.get(host).destroyForcibly();
    }

    /** Number of lines in the logs of host that contain text. */
    long countLogLines(String host, String text) throws IOException {
        long count = 0;
        for (int n = 1; n <= starts.getOrDefault(host, 0); n++) {
            Path log = folder.resolve(host).resolve("log-" + n);
            try (var lines = Files.lines(log, java.nio.charset.StandardCharsets.ISO_8859_1)) {
                count += lines.filter(line -> line.contains(text)).count();
            }
        }
        return count;
    }

    @Override
    public void close() {
        isClosed = true;
        for (Process process : processes.values()) process.destroyForcibly();
        for (Process process : processes.values()) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
