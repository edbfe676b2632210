package anvilslip.policy

/** A workspace of a [ServingConfiguration], with its API keys and limits. */
public data class ServingWorkspace(
    val name: String,
    val keys: List<String>,
    /** 0 is the most urgent; null means that the priority of the route applies. */
    val priority: Int? = null,
    /** Rate limit per second; 0 means no limit. */
    val ratePerSecond: Double = 0.0,
    val burst: Double = 0.0,
    /** True if requests are charged by their tokens, false if each request is charged 1. */
    val countsTokens: Boolean = true,
    /** Tokens charged for a request that states no token count. */
    val defaultTokens: Long = 1,
) {
    /** Amount that a request with [tokens] is charged against the limit. */
    public fun charge(tokens: Long?): Long = if (countsTokens) tokens ?: defaultTokens else 1
}
