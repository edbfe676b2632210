package anvilslip.entry.http

/** Whether a failed request may have been executed. */
public enum class Ran(
    /** Name in responses to callers. */
    public val wireName: String,
) {
    /** No byte of the request was sent to a backend server, so it can be retried safely. */
    NOT_RUN("not_run"),

    /** The request may have been executed, completely or in part. */
    OUTCOME_UNKNOWN("outcome_unknown"),
}
