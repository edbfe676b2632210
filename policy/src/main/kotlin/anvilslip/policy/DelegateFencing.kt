package anvilslip.policy

/**
 * Fencing tokens of the load delegate with [holderBits], by engine. The generation for an engine is raised once, so that the next in the
 * ranking can take over from a delegate that is gone; after a second refusal no order is sent to the engine until a later term. Two
 * instances that both consider themselves the delegate of an engine therefore exchange only a bounded number of orders. Thread-safe.
 */
public class DelegateFencing(
    private val holderBits: Int,
) {
    private class EngineTerm(
        val term: Long,
        val refusals: Int,
    )

    private val engines = HashMap<String, EngineTerm>()

    /** The token for the next order to [server] in [term]; null if the engine has refused [MAX_REFUSALS] tokens of the term. */
    @Synchronized
    public fun tokenFor(
        server: String,
        term: Long,
    ): FencingToken? {
        val refusals = engines[server]?.takeIf { it.term == term }?.refusals ?: 0
        return if (refusals >= MAX_REFUSALS) null else FencingToken.ofDelegate(term, refusals, holderBits)
    }

    /** Records that [server] has refused an order with [token] of [term]. */
    @Synchronized
    public fun recordRefused(
        server: String,
        term: Long,
        token: FencingToken,
    ) {
        // A late answer to an earlier order says nothing about the present token.
        if (tokenFor(server, term) != token) return
        val refusals = engines[server]?.takeIf { it.term == term }?.refusals ?: 0
        engines[server] = EngineTerm(term, refusals + 1)
    }

    private companion object {
        const val MAX_REFUSALS = 2
    }
}
