package anvilslip.gateway

import anvilslip.policy.BackendService

/**
 * Share of one entry instance in the idle connections to a server. A server resets connections beyond its limit for all instances
 * together, so those that are kept without a request must leave room for requests that open one.
 */
internal object IdleConnectionShare {
    /** At least one connection is kept, so that requests that follow each other share it. */
    private const val MIN_CONNECTIONS = 1

    /** Bounds what is kept where a service names no limit. */
    private const val MAX_CONNECTIONS = 64

    /** Connections that an instance keeps before it knows how many share the limit. */
    private const val DEFAULT_CONNECTIONS = 4

    /** One in this many connections that a server accepts may be idle. */
    private const val IDLE_DIVISOR = 2

    /** Idle connections that one of [entryCount] instances keeps to each server of [service]. */
    fun of(
        service: BackendService?,
        entryCount: Int?,
    ): Int {
        if (service == null || entryCount == null) return DEFAULT_CONNECTIONS
        return (service.maxConnections / IDLE_DIVISOR / entryCount).coerceIn(MIN_CONNECTIONS, MAX_CONNECTIONS)
    }
}
