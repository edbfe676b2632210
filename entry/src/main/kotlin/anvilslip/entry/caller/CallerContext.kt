package anvilslip.entry.caller

/** Caller credentials and request metadata from the headers. */
public data class CallerContext(
    /** The API key, if any; must not be logged or forwarded. */
    val key: String?,
    val requestId: String,
    val idempotencyKey: String?,
    val serviceClass: String?,
)
