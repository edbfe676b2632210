package anvilslip.entry.http

/** Stable error codes in responses to callers and operators. */
public enum class ErrorCode(
    public val status: Int,
) {
    MALFORMED_REQUEST(400),
    INVALID_BODY(400),
    INVALID_HEADER(400),
    KEY_IN_WRONG_PLACE(400),
    IDEMPOTENCY_KEY_REQUIRED(400),
    MISSING_KEY(401),
    UNKNOWN_KEY(401),
    NOT_PERMITTED(403),
    UNKNOWN_ROUTE(404),
    UNKNOWN_MODEL(404),
    UNKNOWN_VERSION(404),
    UNKNOWN_CLASS(404),
    METHOD_NOT_ALLOWED(405),
    REQUEST_IN_PROGRESS(409),
    ALREADY_ANSWERED(409),
    REVISION_CONFLICT(409),
    BODY_TOO_LARGE(413),
    LINE_TOO_LONG(414),
    IDEMPOTENCY_KEY_REUSED(422),
    CHANGE_REJECTED(422),
    REQUEST_QUARANTINED(422),
    OVER_BURST(422),
    RATE_LIMITED(429),
    HEADERS_TOO_LARGE(431),
    INTERNAL(500),
    BACKEND_FAILED(502),
    OVERLOADED(503),
    NO_BACKEND(503),
    STALE_CONFIGURATION(503),
    DRAINING(503),
    LEADER_UNREACHABLE(503),
    OUTCOME_UNKNOWN(504),
    ;

    /** Name in responses. */
    public val wireName: String get() = name.lowercase()
}
