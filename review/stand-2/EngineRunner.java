import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A runner of models m0 and on and of their adapters, which carries out orders as the pages say. One that is ordered to load more than it has memory or
 * places for crashes; a new process takes its place after some seconds.
 */
class EngineRunner extends Runner {
    /** What a runner holds and each of its models needs, as the desired state says. */
    record Sizes(double weightsMb, int modelCount, double modelMb, double adapterMb, int adapterSlots) {}

    private static final long ADAPTER_LOAD_MILLIS = 250;
    private static final long MODEL_LOAD_MILLIS = 2000;
    private static final int EVENTS = 4;

    final Sizes sizes;
    /** When each adapter, named MODEL/ADAPTER, is ready, its version, and the number of requests that use it. */
    private final Map<String, Long> readyAt = new LinkedHashMap<>();
    private final Map<String, Long> versions = new LinkedHashMap<>();
    private final Map<String, Integer> inUse = new LinkedHashMap<>();
    /** When each model is ready; a runner that has started again is empty. */
    private final Map<String, Long> modelReadyAt = new LinkedHashMap<>();
    private long orders;
    private long highestToken;

    EngineRunner(String id, String service, Sizes sizes, boolean isEmpty, Control control, Record record) throws IOException {
        super(id, service, 96, 288, control, record);
        this.sizes = sizes;
        for (int i = 0; i < sizes.modelCount && !isEmpty; i++) modelReadyAt.put("m" + i, 0L);
    }

    @Override
    synchronized String moreOfHeartbeat() {
        return ",\"Stage\":\"both\",\"Models\":" + models();
    }

    /** The models with the adapters that are loaded. */
    private String models() {
        long now = System.currentTimeMillis();
        StringBuilder list = new StringBuilder();
        modelReadyAt.forEach((model, at) -> {
            if (at > now) return;
            String adapters = adapters(model + "/", false).replace(model + "/", "");
            list.append(list.isEmpty() ? "" : ",").append("{\"Name\":\"").append(model).append("\",\"Version\":1,\"Adapters\":").append(adapters);
            list.append("}");
        });
        return "[" + list + "]";
    }

    /** True while a model is being loaded, when no other order is taken. */
    private boolean isBusy() {
        long now = System.currentTimeMillis();
        return modelReadyAt.values().stream().anyMatch(at -> at > now);
    }

    /** Names and versions of the adapters whose names begin with prefix: those that are loaded, or those on their way. */
    private String adapters(String prefix, boolean isPending) {
        long now = System.currentTimeMillis();
        TreeSet<String> names = new TreeSet<>();
        readyAt.forEach((adapter, at) -> {
            if (adapter.startsWith(prefix) && at > now == isPending) names.add("\"" + adapter + "@" + versions.get(adapter) + "\"");
        });
        return "[" + String.join(",", names) + "]";
    }

    @Override
    boolean handleOrder(Http.Head head, String body, OutputStream out) throws IOException {
        if (head.start().startsWith("GET /anvilslip/report")) {
            String report;
            synchronized (this) {
                report = "{\"Stage\":\"both\",\"Models\":" + models() + ",\"Busy\":" + isBusy() + ",\"Sequence\":" + orders
                    + ",\"Queued\":0,\"Active\":0,\"KvUsed\":0,\"KvTotal\":122465,\"Handles\":0,\"Pending\":" + adapters("", true) + "}";
            }
            answer(out, 200, "", report);
            return true;
        }
        if (!head.start().startsWith("POST /anvilslip/order")) return false;
        int status = order(body);
        record.line("%s answers the order %s with %d", id, body, status);
        if (status != 0) answer(out, status, "", "{}");
        return true;
    }

    /** Carries out an order and returns the status of the answer, or 0 if this runner has crashed. */
    private synchronized int order(String body) {
        String operation = field(body, "Operation");
        String model = field(body, "Model");
        String adapter = model + "/" + field(body, "Adapter");
        String token = field(body, "FencingToken");
        String expected = field(body, "Expect");
        String version = field(body, "Version");
        if (field(body, "Holder") == null || token == null || model == null) return 400;
        if (Long.parseLong(token) < highestToken) return 412;
        highestToken = Long.parseLong(token);
        if (isBusy() || expected != null && Long.parseLong(expected) != orders) return 409;
        if (field(body, "Adapter") == null) return loadModel(operation, model);
        if (!modelReadyAt.containsKey(model)) return 400;
        if ("unload".equals(operation)) {
            if (!readyAt.containsKey(adapter)) return 200;
            if (inUse.getOrDefault(adapter, 0) > 0) return 409;
            orders++;
            readyAt.remove(adapter);
            return 200;
        }
        if (!"load".equals(operation)) return 400;
        long number = version == null ? newestVersion(adapter) : Long.parseLong(version);
        if (readyAt.containsKey(adapter) && versions.get(adapter) >= number) return 200;
        orders++;
        readyAt.put(adapter, System.currentTimeMillis() + ADAPTER_LOAD_MILLIS);
        versions.put(adapter, number);
        double memory = modelReadyAt.size() * sizes.modelMb + readyAt.size() * sizes.adapterMb;
        record.line("%s is ordered to load %s: %d adapters of %d, %.0f MB of %.0f", id, adapter, readyAt.size(), sizes.adapterSlots, memory,
            sizes.weightsMb);
        if (readyAt.size() <= sizes.adapterSlots && memory <= sizes.weightsMb) return 202;
        record.line("%s crashes", id);
        onOverload();
        close();
        return 0;
    }

    /** Starts to load a model; the system unloads none. */
    private int loadModel(String operation, String model) {
        if (!"load".equals(operation)) return 400;
        if (modelReadyAt.containsKey(model)) return 200;
        orders++;
        modelReadyAt.put(model, System.currentTimeMillis() + MODEL_LOAD_MILLIS);
        double memory = modelReadyAt.size() * sizes.modelMb + readyAt.size() * sizes.adapterMb;
        record.line("%s is ordered to load %s: %.0f MB of %.0f", id, model, memory, sizes.weightsMb);
        if (memory <= sizes.weightsMb) return 202;
        record.line("%s crashes", id);
        onOverload();
        close();
        return 0;
    }

    /** The newest version of an adapter, which a load without a version fetches. */
    long newestVersion(String adapter) {
        return 1;
    }

    /** Called when this runner is ordered to load more than it holds. */
    void onOverload() {}

    private static String field(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]+)").matcher(body);
        return matcher.find() ? matcher.group(1) : null;
    }

    @Override
    boolean run(Http.Head head, String attempt, OutputStream out) throws IOException {
        String adapter = head.headers().getOrDefault("x-model", "");
        String expected = head.headers().get("x-expected-version");
        synchronized (this) {
            Long at = readyAt.get(adapter);
            boolean isOther = expected != null && !expected.equals("" + versions.get(adapter));
            if (at == null || at > System.currentTimeMillis() || isOther) {
                answer(out, 421, attemptHeader(attempt) + "X-Not-Executed: 1\r\n", "not held");
                return true;
            }
            inUse.merge(adapter, 1, Integer::sum);
        }
        try {
            return stream(attempt, out);
        } finally {
            synchronized (this) {
                inUse.merge(adapter, -1, Integer::sum);
            }
        }
    }

    private boolean stream(String attempt, OutputStream out) throws IOException {
        String head = "HTTP/1.1 200 OK\r\n" + attemptHeader(attempt) + "X-Server-Stamp: " + id + "." + attempt + "\r\nX-Weight-Versions: 1\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        for (int number = 1; number <= EVENTS; number++) {
            pause(50);
            if (isStopped) return false;
            String event = "id: " + number + "\ndata: " + attempt + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }
}
