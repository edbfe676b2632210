package anvilslip.entry.http

import anvilslip.kernel.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The idle connections to one address. Each is closed when its idle time is over, also if no request asks for one any more, since the
 * server counts it against its limit for all clients. Thread-safe.
 */
internal class IdleConnections(
    private val maxIdle: Duration,
    private val clock: Clock,
) {
    private class Idle(
        val connection: ClientConnection,
        val expiresAt: Duration,
    )

    private val idle = ArrayDeque<Idle>()
    private var polledAt: Duration? = null

    /** When the next sweep is due; null if none is scheduled. */
    private var sweepAt: Duration? = null

    /** Most connections that are kept. */
    @Volatile
    var limit: Int = HttpClientRequest.DEFAULT_MAX_IDLE

    /** Takes the connection that was used last, or returns null if there is none. */
    @Synchronized
    fun poll(): ClientConnection? {
        val now = clock.elapsed()
        polledAt = now
        while (true) {
            val last = idle.removeLastOrNull() ?: return null
            if (last.connection.isActive && now < last.expiresAt) return last.connection
            last.connection.close()
        }
    }

    /**
     * Keeps [connection] for [idleTime], or closes it. If [isSurplus], it has carried a request that takes no idle connection; many of
     * those would fill the pool and never use it, so at most one is kept, and only while other requests ask for connections.
     *
     * To be called on the event loop of the connection.
     */
    @Synchronized
    fun offer(
        connection: ClientConnection,
        idleTime: Duration,
        isSurplus: Boolean,
    ) {
        val now = clock.elapsed()
        val isWanted = if (isSurplus) idle.isEmpty() && isPolled(now) else idle.size < limit
        if (!isWanted || !connection.isActive) return connection.close()
        val expiresAt = now + idleTime
        idle.addLast(Idle(connection, expiresAt))
        if (sweepAt.let { it == null || expiresAt < it }) scheduleSweep(connection, expiresAt, now)
    }

    private fun isPolled(now: Duration): Boolean = polledAt?.let { now - it < maxIdle } ?: false

    private fun scheduleSweep(
        connection: ClientConnection,
        at: Duration,
        now: Duration,
    ) {
        sweepAt = at
        connection.schedule((at - now).coerceAtLeast(MIN_SWEEP_DELAY)) { sweep(connection, at) }
    }

    /** Closes what has expired and schedules the next sweep on the event loop of [owner], which need not be open any more. */
    @Synchronized
    private fun sweep(
        owner: ClientConnection,
        at: Duration,
    ) {
        // A sweep for a connection that expires earlier has replaced this one.
        if (sweepAt != at) return
        val now = clock.elapsed()
        val (kept, expired) = idle.partition { it.connection.isActive && now < it.expiresAt }
        idle.clear()
        idle.addAll(kept)
        expired.forEach { it.connection.close() }
        sweepAt = null
        if (kept.isNotEmpty()) scheduleSweep(owner, kept.minOf { it.expiresAt }, now)
    }

    private companion object {
        /** A timer may end slightly before the clock shows its time; without a delay, sweeps would follow each other at once. */
        val MIN_SWEEP_DELAY = 1.milliseconds
    }
}
