package anvilslip.standin

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a trial that misses requests beyond the limit of an engine, or that adds up those of several engines. */
class EngineLimitCheckSpec :
    DescribeSpec({
        val load = DispatchLoad("limited", limitFrom = 10.seconds, limitTo = 30.seconds, limit = 1.0)

        fun excess(vararg arrivals: Pair<Duration, String>) =
            EngineLimitCheck(load).apply { arrivals.forEach { (at, engine) -> recordArrival(engine, at) } }.worstExcess()

        fun requests(
            count: Int,
            at: Duration,
            engine: String = "engine-0",
        ) = Array(count) { at to engine }

        describe("requests to an engine that names a limit of one request a second") {
            it("are over the limit from the twelfth within four seconds") {
                excess(*requests(11, 13.seconds)) shouldBe 0.0
                excess(*requests(12, 13.seconds)) shouldBe 1.0
                excess(*requests(6, 13.seconds), *requests(8, 17.seconds)) shouldBe 3.0
            }

            it("are not over the limit if they spread over more than four seconds") {
                excess(*requests(8, 13.seconds), *requests(8, 17_001.milliseconds)) shouldBe 0.0
            }

            it("do not count within three seconds after it was named first") {
                excess(*requests(50, 12_999.milliseconds)) shouldBe 0.0
            }

            it("count for each engine on its own") {
                excess(*requests(8, 13.seconds), *requests(8, 13.seconds, "engine-1")) shouldBe 0.0
            }
        }
    })
