package anvilslip.standin

import anvilslip.policy.DispatchRefusal
import kotlinx.serialization.Serializable
import kotlin.math.pow

/** How adapters that were requested again and again over a longer time were served. */
@Serializable
public data class AdapterStarvation(
    /** Number of adapters that were requested at least [MIN_REQUESTS] times over at least [MIN_SPAN_SECONDS]. */
    val requested: Int,
    /** Those of [requested] that were never served. */
    val neverServed: Int,
    /** Expected [neverServed] if each request had the same chance to be served, whatever its adapter. */
    val expected: Double,
    /** Requests for the adapters in [neverServed], by the reason of their last refusal. */
    val refusals: Map<DispatchRefusal, Int> = emptyMap(),
) {
    public companion object {
        public const val MIN_REQUESTS: Int = 4
        public const val MIN_SPAN_SECONDS: Int = 8

        /** No adapter was requested often enough to count. */
        public val NONE: AdapterStarvation = AdapterStarvation(0, 0, 0.0)

        /** Evaluates [requests], of which the share [served] was served. */
        internal fun of(
            requests: List<TrialRequest>,
            served: Double,
        ): AdapterStarvation {
            val byAdapter = requests.filter { it.adapter != null }.groupBy { it.adapter }.values
            val repeated = byAdapter.filter { it.size >= MIN_REQUESTS && spanSeconds(it) >= MIN_SPAN_SECONDS }
            val neverServed = repeated.filter { of -> of.all { it.answeredAt == null } }
            val refusals =
                neverServed
                    .flatten()
                    .mapNotNull { it.lastRefusal }
                    .groupingBy { it }
                    .eachCount()
            return AdapterStarvation(repeated.size, neverServed.size, repeated.sumOf { (1 - served).pow(it.size) }, refusals)
        }

        private fun spanSeconds(requests: List<TrialRequest>): Long =
            (requests.maxOf { it.arrivedAt } - requests.minOf { it.arrivedAt }).inWholeSeconds
    }
}
