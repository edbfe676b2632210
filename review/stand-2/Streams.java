import java.io.IOException;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** Requesters of streams; each asks for one adapter after the other. */
final class Streams {
    /** Status of each answer; 0 if it was cut off. */
    final Queue<Integer> statuses = new ConcurrentLinkedQueue<>();
    private final AtomicLong lastId = new AtomicLong();
    private final String prefix = Long.toHexString(System.nanoTime() & 0xffffffffL);
    private final Deployment deployment;
    private final Record record;
    volatile boolean isStopped;

    Streams(Deployment deployment, Record record) {
        this.deployment = deployment;
        this.record = record;
    }

    /** Starts a requester that asks entry for what nextModel names, one request after the other. */
    void start(String entry, Supplier<String> nextModel) {
        Runner.daemon("streams-" + entry, () -> {
            while (!isStopped) {
                statuses.add(sendOne(entry, nextModel.get()));
                Runner.pause(100);
            }
        });
    }

    /** Sends one request and returns the status of its answer, or 0 if that was cut off or there was none. */
    int sendOne(String entry, String model) {
        String attempt = prefix + "-" + lastId.incrementAndGet();
        try (Http.Connection connection = new Http.Connection(entry, deployment.clientPort(), 5500)) {
            Map<String, String> headers = Clients.headers(attempt, 5000);
            headers.put("X-Model", model);
            headers.put("X-Token-Count", "600,8");
            headers.put("X-Prompt-Prefix", "5c1e07a2:400," + Integer.toHexString(attempt.hashCode()) + ":200");
            record.line("sent %s for %s to %s", attempt, model, entry);
            Http.Answer answer = connection.exchange("POST", Documents.STREAM + "x", headers, new byte[1200]);
            record.line("answered %s %d%s", attempt, answer.status(), answer.isComplete() ? "" : " cut off");
            return answer.isComplete() ? answer.status() : 0;
        } catch (IOException e) {
            record.line("closed %s: %s", attempt, e.getMessage());
            return 0;
        }
    }
}
