/** Desired states of the cases. */
final class Documents {
    static final String HOST = "shop.example";
    static final String KEY = "review-key-1";
    static final String SERVICE = "shopdesk";
    static final String AGAIN = "/status/";
    static final String ONCE = "/order/";
    static final String STREAM = "/brief/";

    private Documents() {}

    /** A plain service with a route of idempotent requests and one of requests that may run once. */
    static String plain(long version, int maxBodyBytes, int targetMillis) {
        return "{\"Version\":" + version + ",\"Routes\":[" + route("status", AGAIN, "idempotent", 2, targetMillis) + "," + route("order", ONCE, "non_idempotent", 1, targetMillis)
            + "],\"Services\":[{\"Name\":\"" + SERVICE + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":" + maxBodyBytes + ",\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[\"" + KEY + "\"]}]}";
    }

    /** Engines with models and their adapters, and a route of streams that may be resumed. */
    static String engine(long version, EngineRunner.Sizes sizes) {
        return "{\"Version\":" + version + ",\"Routes\":[{\"Name\":\"brief\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"" + STREAM
            + "\",\"Type\":\"streaming\",\"TimeoutMs\":5000,\"TargetLatencyMs\":1000,\"Priority\":1,\"Service\":\"stitchmind\",\"MaxAttempts\":2,"
            + "\"Public\":false,\"Sticky\":true,\"Resumable\":true,\"TargetGapMs\":250}],\"Services\":[{\"Name\":\"stitchmind\","
            + "\"HealthPath\":\"/healthz\",\"MaxConnections\":500,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":96,\"KvCapacity\":122465,"
            + "\"KvTokenBytes\":131072,\"LinkMbps\":130000.0,\"Models\":[" + models(sizes)
            + "],\"WeightsMb\":" + sizes.weightsMb()
            + ",\"AdapterSlots\":" + sizes.adapterSlots() + ",\"LoadsPerS\":2.8}}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[\"" + KEY + "\"]}]}";
    }

    private static String models(EngineRunner.Sizes sizes) {
        StringBuilder models = new StringBuilder();
        for (int i = 0; i < sizes.modelCount(); i++) {
            models.append(i > 0 ? "," : "").append("{\"Name\":\"m").append(i).append("\",\"WeightsMb\":").append(sizes.modelMb())
                .append(",\"LoadS\":2.0,\"Adapters\":3000,\"AdapterMb\":").append(sizes.adapterMb()).append("}");
        }
        return models.toString();
    }

    private static String route(String name, String prefix, String type, int attempts, int targetMillis) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"" + prefix + "\",\"Type\":\"" + type + "\",\"TimeoutMs\":1200,"
            + "\"TargetLatencyMs\":" + targetMillis + ",\"Priority\":2,\"Service\":\"" + SERVICE + "\",\"MaxAttempts\":" + attempts + ",\"Public\":false}";
    }
}
