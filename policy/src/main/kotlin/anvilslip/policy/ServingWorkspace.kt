package anvilslip.policy

/** A customer of a complete configuration. */
public data class ServingWorkspace(
    val name: String,
    val keys: List<String>,
    /** 0 is the most urgent; null leaves it to the route. */
    val priority: Int? = null,
    /** 0 means no limit. */
    val ratePerSecond: Double = 0.0,
    val burst: Double = 0.0,
    /** True when requests count by their tokens, false when each counts 1. */
    val countsTokens: Boolean = true,
    /** Tokens that a request without a token count counts. */
    val defaultTokens: Long = 1,
) {
    /** What a request counts against the limit. */
    public fun charge(tokens: Long?): Long = if (countsTokens) tokens ?: defaultTokens else 1
}
