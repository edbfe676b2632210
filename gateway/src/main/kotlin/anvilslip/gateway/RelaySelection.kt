package anvilslip.gateway

import anvilslip.kernel.Clock
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Chooses the entry instances that pass requests on for this one: in random order, those that have failed recently last. Thread-safe. */
internal class RelaySelection(
    private val relays: () -> Collection<String>,
    private val clock: Clock,
    private val random: Random = Random.Default,
) {
    private val avoidedUntil = ConcurrentHashMap<String, Duration>()

    /** Addresses (`host:port`) of the relays to try for one request. */
    fun candidates(): List<String> {
        val now = clock.elapsed()
        val shuffled = relays().shuffled(random)
        return shuffled.sortedBy { (avoidedUntil[it] ?: Duration.ZERO) > now }.take(MAX_TRIES)
    }

    /** Records that [relay] could not be reached, or could not reach the server itself. */
    fun recordFailure(relay: String) {
        val now = clock.elapsed()
        avoidedUntil.values.removeAll { it <= now }
        avoidedUntil[relay] = now + AVOIDANCE
    }

    private companion object {
        /** Relays that are tried for one request. */
        const val MAX_TRIES = 3
        val AVOIDANCE = 1.seconds
    }
}
