package anvilslip.policy

import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration

/** Exponentially decaying count of uses per adapter version. [recordUse] and [scoreOf] take constant time. */
internal class Popularity(
    private val halfLife: Duration,
) {
    private class Score(
        var value: Double,
        var at: Duration,
    )

    private val scores = HashMap<AdapterVersion, Score>()

    fun recordUse(
        adapter: AdapterVersion,
        now: Duration,
        weight: Double = 1.0,
    ) {
        val score = scores.getOrPut(adapter) { Score(0.0, now) }
        score.value = decayed(score, now) + weight
        score.at = now
    }

    fun scoreOf(
        adapter: AdapterVersion,
        now: Duration,
    ): Double = scores[adapter]?.let { decayed(it, now) } ?: 0.0

    /** Evicts adapters that have not been used for [RETENTION_HALF_LIVES] half-lives. */
    fun evictStale(now: Duration) {
        scores.values.removeAll { now - it.at > halfLife * RETENTION_HALF_LIVES }
    }

    /** The [count] most popular adapters, as candidates for preloading. */
    fun top(
        count: Int,
        now: Duration,
    ): List<AdapterVersion> =
        scores.entries
            .sortedByDescending { decayed(it.value, now) }
            .take(count)
            .map { it.key }

    private fun decayed(
        score: Score,
        now: Duration,
    ): Double = score.value * exp(-ln(2.0) * ((now - score.at) / halfLife))

    private companion object {
        const val RETENTION_HALF_LIVES = 12
    }
}
