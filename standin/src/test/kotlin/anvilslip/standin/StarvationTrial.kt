package anvilslip.standin

import anvilslip.policy.DispatchOptions
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import kotlin.time.Duration.Companion.seconds

/** A steady overload of a few engines, in which most adapters are requested seldom and some often. */
internal class StarvationTrial(
    private val adapterSlots: Int,
    private val requestsPerEngine: Double,
) {
    /** Plays the load with [seed]; at most a tenth of the adapters may stay unserved, beyond three times what chance would leave. */
    fun verify(seed: Long) {
        val deployment = DispatchTrialOptions.ofManyEngines(ENGINES, DispatchOptions(minQueueEngines = Int.MAX_VALUE))
        val engine = deployment.engine.copy(adapterSlots = adapterSlots)
        val options = deployment.copy(adapters = ADAPTERS, skew = 1.2, engine = engine, limitFactor = 4.0)
        val load = DispatchLoad("overload", requestsPerEngine * ENGINES, burstSize = 1, duration = 34.seconds)
        val result = DispatchTrial(options, load, seed).run()
        println(
            "$adapterSlots slots, $requestsPerEngine requests per engine, seed $seed: ${result.adapterStarvation}, " +
                "unserved ${result.unserved}, late ${result.late}, worth ${result.worth}",
        )
        val starvation = result.adapterStarvation
        starvation.neverServed - 3 * starvation.expected shouldBeLessThanOrEqual 1 + starvation.requested * 0.1
    }

    private companion object {
        const val ENGINES = 12
        const val ADAPTERS = 10_000
    }
}
