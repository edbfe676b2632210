import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Calls of the operator and of runners to the control instances, as the users' pages say: one instance after the other until one answers. */
final class Control {
    private final Deployment deployment;

    Control(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Calls the control instance on host; returns null if it does not answer within a second. */
    Http.Answer call(String host, String method, String path, String body) {
        try (Http.Connection connection = new Http.Connection(host, deployment.controlPort(), 1000)) {
            byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
            return connection.exchange(method, path, Map.of("Host", host, "Content-Type", "application/json"), bytes);
        } catch (IOException e) {
            return null;
        }
    }

    /** Calls the instances in random order until one answers with 2xx; returns false if none does. */
    boolean callAny(String method, String path, String body) {
        List<String> hosts = new ArrayList<>(deployment.controls);
        Collections.shuffle(hosts);
        for (String host : hosts) {
            Http.Answer answer = call(host, method, path, body);
            if (answer != null && answer.status() / 100 == 2) return true;
        }
        return false;
    }

    /** Sends a desired state until it is acknowledged; returns false if that takes over 30 s. */
    boolean replace(String document) throws InterruptedException {
        for (int i = 0; i < 150; i++) {
            if (callAny("POST", "/anvilslip/Config.Replace", document)) return true;
            Thread.sleep(200);
        }
        return false;
    }

    /** Waits until each entry instance is ready and answers a request made by probe with 200; returns false after 40 s. */
    boolean awaitServing(Function<String, Boolean> probe) throws InterruptedException {
        for (String host : deployment.entries) {
            boolean isServing = false;
            for (int i = 0; i < 400 && !isServing; i++) {
                isServing = probe.apply(host);
                if (!isServing) Thread.sleep(100);
            }
            if (!isServing) return false;
        }
        return true;
    }
}
