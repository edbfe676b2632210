package anvilslip.policy

/**
 * Fencing tokens of the leader of one term. A refused token is never used again for the engine that refused it: the generation is
 * raised, which also fences off the load delegates of the term. Thread-safe.
 */
public class LeaderFencing(
    private val term: Long,
) {
    private var generation = 0

    /** The highest token that each engine has refused. */
    private val refused = HashMap<String, FencingToken>()

    /** The token for the next order to [server]; null if the engine has refused the highest one. */
    @Synchronized
    public fun tokenFor(server: String): FencingToken? =
        FencingToken.ofLeader(term, generation).takeIf { token -> refused[server]?.let { token > it } ?: true }

    /** Records that [server] has refused an order with [token]. */
    @Synchronized
    public fun recordRefused(
        server: String,
        token: FencingToken,
    ) {
        refused[server] = maxOf(token, refused[server] ?: token)
        // Engines that refuse the same token at the same time raise the generation once.
        if (token == FencingToken.ofLeader(term, generation) && generation < FencingToken.MAX_GENERATION) generation++
    }
}
