package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Entry and control instances as separate processes on loopback addresses, started with the commands of the deploy file. */
final class Cluster implements AutoCloseable {
    private static final int PORTS_PER_HOST = 6;
    private static final int BODY_BYTES_PER_MILLI = 256;
    private static final HttpClient HTTP =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();

    final List<String> controls = new ArrayList<>();
    final List<String> entries = new ArrayList<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, Integer> starts = new LinkedHashMap<>();
    private final Path root;
    private final Path folder;
    private final int basePort;
    private final int heartbeatMillis;

    Cluster(Path root, Path folder, int controlCount, int entryCount, int heartbeatMillis) throws IOException {
        this.root = root;
        this.folder = folder;
        this.heartbeatMillis = heartbeatMillis;
        Random random = new Random();
        String network = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250));
        for (int i = 1; i <= controlCount; i++) controls.add(network + "." + i);
        for (int i = 1; i <= entryCount; i++) entries.add(network + "." + (100 + i));
        basePort = freeBasePort(random);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private int freeBasePort(Random random) throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int base = 18_000 + random.nextInt(12_000);
            if (isFree(base)) return base;
        }
        throw new IOException("no free ports");
    }

    private boolean isFree(int base) {
        List<String> hosts = new ArrayList<>(controls);
        hosts.addAll(entries);
        for (String host : hosts) {
            for (int port = base; port < base + PORTS_PER_HOST; port++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(InetAddress.getByName(host), port));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Host in the network of this cluster for a stand-in. */
    String standInHost() {
        String host = controls.get(0);
        return host.substring(0, host.lastIndexOf('.') + 1) + "200";
    }

    String frontend(String entry) {
        return entry + ":" + (basePort + 2);
    }

    InetSocketAddress frontendAddress(String entry) {
        return new InetSocketAddress(entry, basePort + 2);
    }

    void start() throws IOException {
        for (String host : controls) start(host, true);
        for (String host : entries) start(host, true);
    }

    void start(String host, boolean bootstrap) throws IOException {
        Path home = folder.resolve(host);
        Files.createDirectories(home);
        Path settings = home.resolve("settings.json");
        Files.writeString(settings, settings(host, home, bootstrap));
        List<String> command = new ArrayList<>();
        for (String word : runCommand().split(" ")) command.add(word.equals("/etc/anvilslip/settings.conf") ? settings.toString() : word);
        int number = starts.merge(host, 1, Integer::sum);
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
        builder.redirectOutput(home.resolve("log-" + number).toFile());
        processes.put(host, builder.start());
    }

    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IOException("the deploy file names no command");
    }

    private String settings(String host, Path home, boolean bootstrap) {
        StringBuilder seeds = new StringBuilder();
        for (String seed : controls.subList(0, Math.min(3, controls.size()))) seeds.append(seeds.length() == 0 ? "" : ", ").append('"').append(seed).append(':').append(basePort + 4).append('"');
        String role = controls.contains(host)
            ? "\"control\": \"" + host + ":" + (basePort + 4) + "\", \"directory\": \"" + host + ":" + (basePort + 5) + "\", \"dataFolder\": \"" + home.resolve("data") + "\","
            : "\"clients\": \"" + host + ":" + (basePort + 2) + "\", \"readiness\": \"" + host + ":" + (basePort + 3) + "\",";
        return "{ \"instance\": \"" + host + "\", \"host\": \"" + host + "\", \"zone\": \"z1\", \"region\": \"r1\", \"peerPort\": " + basePort
            + ", \"metricsPort\": " + (basePort + 1) + ", \"seeds\": [" + seeds + "], " + role + " \"mayFound\": " + bootstrap
            + ", \"toleratedLosses\": 1, \"heartbeat\": \"" + heartbeatMillis + "ms\", \"shutdownTime\": \"8s\", \"retryWindow\": \"10s\", \"retryShare\": 0.2,"
            + " \"retryReserve\": 58, \"orderPause\": \"3000ms\", \"fencingChecked\": true }";
    }

    boolean isRunning(String host) {
        return processes.get(host).isAlive();
    }

    void kill(String host) throws InterruptedException {
        processes.get(host).destroyForcibly().waitFor();
    }

    /** Status of a call to [host], or -1 without an answer. Callers wait for a second, and longer for large bodies. */
    int callControl(String host, String method, String path, String body) throws InterruptedException {
        HttpRequest request =
            HttpRequest.newBuilder(URI.create("http://" + host + ":" + (basePort + 4) + path))
                .timeout(Duration.ofMillis(1000 + body.length() / BODY_BYTES_PER_MILLI))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            return HTTP.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            return -1;
        }
    }

    /** The configuration as [host] returns it, or null. */
    String read(String host) throws InterruptedException {
        URI uri = URI.create("http://" + host + ":" + (basePort + 4) + "/anvilslip/Config.Read");
        try {
            HttpResponse<String> response =
                HTTP.send(HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(2)).build(), HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == 200 ? response.body() : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Sends a call to one control instance after the other until one acknowledges it, for at most [timeout]. */
    boolean callAnyControl(String method, String path, String body, Duration timeout) throws InterruptedException {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (true) {
            for (String host : controls) if (callControl(host, method, path, body) == 200) return true;
            if (System.nanoTime() > deadline) return false;
            Thread.sleep(100);
        }
    }

    /** Waits until the directory of each control instance lists all entry instances. */
    boolean awaitReady(Duration timeout) throws InterruptedException {
        long deadline = System.nanoTime() + timeout.toNanos();
        for (String control : controls) {
            while (listedEntries(control) < entries.size()) {
                if (System.nanoTime() > deadline) return false;
                Thread.sleep(100);
            }
        }
        return true;
    }

    private int listedEntries(String control) throws InterruptedException {
        URI uri = URI.create("http://" + control + ":" + (basePort + 5) + "/anvilslip/resolve?Name=shop.example&Region=r1&Zone=z1");
        try {
            HttpResponse<String> response =
                HTTP.send(HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build(), HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != 200) return 0;
            int count = 0;
            for (String entry : entries) if (response.body().contains("\"" + frontend(entry) + "\"")) count++;
            return count;
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
