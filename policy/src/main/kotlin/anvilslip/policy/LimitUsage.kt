package anvilslip.policy

/** State of the limit of one workspace, and the tokens charged to it since the last report, for the log. */
public data class LimitUsage(
    val workspace: String,
    /** Refill rate in tokens per second, after deduction of shares that others may spend. */
    val rate: Double,
    /** Tokens that may be spent now; negative while there is a debt. */
    val level: Double,
    /** Tokens charged since the last report. */
    val charged: Long,
    /** Tokens of requests that did not run, refunded since the last report. */
    val refunded: Long,
)
