package review;

/** Configuration documents with many routes, written like the example of the protocol page. */
final class LargeDocument {
    private LargeDocument() {}

    static String of(long version, int routes) {
        StringBuilder text = new StringBuilder("{\"Version\":" + version + ",\"Routes\":[");
        for (int i = 0; i < routes; i++) {
            if (i > 0) text.append(',');
            text.append("{\"Name\":\"r-").append(Integer.toString(60_466_176 + i, 36)).append("\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/lohu").append(i)
                .append("/\",\"Type\":\"streaming\",\"TimeoutMs\":").append(5000 + version % 7).append(",\"TargetLatencyMs\":1000,\"Priority\":1,")
                .append("\"Split\":[{\"Service\":\"huvo11a\",\"Weight\":90},{\"Service\":\"wuno96b\",\"Weight\":10}],\"MaxAttempts\":2,\"Public\":false,")
                .append("\"Sticky\":true,\"Resumable\":true,\"TargetGapMs\":250}");
        }
        return text.append("],\"Services\":[{\"Name\":\"huvo11a\",\"HealthPath\":\"/healthz\",\"MaxConnections\":500,\"Protocol\":\"h1\",\"Tls\":false},")
            .append("{\"Name\":\"wuno96b\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}],")
            .append("\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},")
            .append("\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\"i9n73hh2b9wu3fexd9dn\"],\"Priority\":1}]}")
            .toString();
    }
}
