package anvilslip.standin

import anvilslip.policy.DispatchOptions
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import kotlin.time.Duration.Companion.seconds

/** Guards against adapters that are requested again and again and never served, because popular ones keep all adapter slots in use. */
class StarvedAdaptersSpec :
    DescribeSpec({
        val engines = 12

        fun starvation(
            adapterSlots: Int,
            requestsPerEngine: Double,
            seed: Long,
        ): AdapterStarvation {
            val deployment = DispatchTrialOptions.ofManyEngines(engines, DispatchOptions(minQueueEngines = Int.MAX_VALUE))
            val engine = deployment.engine.copy(adapterSlots = adapterSlots)
            val options = deployment.copy(adapters = 10_000, skew = 1.2, engine = engine, limitFactor = 4.0)
            val load = DispatchLoad("overload", requestsPerEngine * engines, burstSize = 1, duration = 34.seconds)
            val result = DispatchTrial(options, load, seed).run()
            println(
                "$adapterSlots slots, $requestsPerEngine requests per engine, seed $seed: ${result.adapterStarvation}, " +
                    "unserved ${result.unserved}, late ${result.late}, worth ${result.worth}",
            )
            return result.adapterStarvation
        }

        for (adapterSlots in listOf(4, 6)) {
            for (requestsPerEngine in listOf(10.0, 14.0)) {
                describe("$adapterSlots adapter slots on each engine and $requestsPerEngine requests a second per engine") {
                    for (seed in 1L..3L) {
                        it("leave at most a tenth of the adapters unserved, beyond three times what chance would, seed $seed") {
                            val result = starvation(adapterSlots, requestsPerEngine, seed)
                            result.neverServed - 3 * result.expected shouldBeLessThanOrEqual 1 + result.requested * 0.1
                        }
                    }
                }
            }
        }
    })
