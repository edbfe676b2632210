package anvilslip.standin

import anvilslip.policy.DispatchOptions
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a design that asks more processor time of the leader than it has, so that requests are refused and adapters are never
 * served while engines are idle. Decisions, reports of progress and orders are charged; the engines have about 0.6 of the load they carry.
 */
class LeaderCostSpec :
    DescribeSpec({
        val engines = 98

        fun run(
            leader: LeaderModelOptions?,
            seed: Long,
        ): DispatchTrialResult {
            val deployment = DispatchTrialOptions.ofManyEngines(engines, DispatchOptions(minQueueEngines = Int.MAX_VALUE))
            val options =
                deployment.copy(
                    zones = 5,
                    engine = deployment.engine.copy(slots = 96, kvCapacityTokens = 121_730),
                    adapters = 10_000,
                    skew = 1.3,
                    limitFactor = 4.0,
                    fullSpeedLoads = 64,
                    leader = leader,
                )
            val result = DispatchTrial(options, DispatchLoad("usual", 450.0, burstSize = 3, duration = 14.seconds), seed).run()
            println(
                "question ${leader?.question}, seed $seed: unserved ${result.unserved}, worth ${result.worth}, late answers " +
                    "${result.lateAnswers}, busiest ${result.busiestEngine}, ${result.refusals}, ${result.adapterStarvation}",
            )
            return result
        }

        fun charged(question: Duration) = LeaderModelOptions(question, plainRequestsPerSecond = 150.0)

        // 0.2 ms of a core for a request once the code is compiled and 0.8 ms before, on a leader with 0.45 of a core.
        for (question in listOf(440.microseconds, 1_780.microseconds)) {
            for (seed in 1L..2L) {
                it("serves as if decisions took no time, with a leader that needs $question for a question, seed $seed") {
                    val result = run(charged(question), seed)
                    result.unserved shouldBeLessThanOrEqual run(null, seed).unserved + 0.05
                    val starvation = result.adapterStarvation
                    starvation.neverServed - 3 * starvation.expected shouldBeLessThanOrEqual 1 + starvation.requested * 0.1
                }
            }
        }
    })
