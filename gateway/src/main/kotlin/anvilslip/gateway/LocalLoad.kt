package anvilslip.gateway

/** What an entry instance knows of the load of servers from its own requests. */
public fun interface LocalLoad {
    /** Returns the number of requests that this instance has sent to [server] and that have not ended. */
    public fun countRunning(server: String): Int

    /**
     * Returns the expected time in milliseconds until [server] of [service] begins to answer a request with [promptTokens]. Without
     * further knowledge this is the number of running requests, which orders servers alike.
     */
    public fun expectedWaitMillis(
        server: String,
        service: String,
        promptTokens: Int,
    ): Double = countRunning(server).toDouble()
}
