package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class StreamOriginsSpec :
    DescribeSpec({
        val origin = StreamOrigin("app", "v1")
        val other = StreamOrigin("app", "v2")

        describe("the origin of a stream") {
            it("is known for the time that its record states, at most a minute") {
                val origins = StreamOrigins()
                origins.record(StreamRecord("a", origin, 3_000), Duration.ZERO)
                origins.record(StreamRecord("b", origin, 600_000), Duration.ZERO)
                origins.find("a", 2.seconds) shouldBe origin
                origins.find("a", 3.seconds) shouldBe null
                origins.find("b", 59.seconds) shouldBe origin
                origins.find("b", 1.minutes) shouldBe null
            }

            it("never changes") {
                val origins = StreamOrigins()
                origins.record(StreamRecord("a", origin, 3_000), Duration.ZERO)
                origins.record(StreamRecord("a", other, 3_000), Duration.ZERO)
                origins.find("a", 1.seconds) shouldBe origin
            }

            it("is reported with the time that is left") {
                val origins = StreamOrigins()
                origins.record(StreamRecord("a", origin, 3_000), Duration.ZERO)
                origins.record(StreamRecord("b", other, 500), Duration.ZERO)
                origins.unexpired(900.milliseconds) shouldBe listOf(StreamRecord("a", origin, 2_100))
            }

            it("is forgotten first for the oldest of too many streams") {
                val origins = StreamOrigins(maxStreams = 2)
                for (attempt in listOf("a", "b", "c")) origins.record(StreamRecord(attempt, origin, 3_000), Duration.ZERO)
                listOf("a", "b", "c").map { origins.find(it, 1.seconds) } shouldBe listOf(null, origin, origin)
            }
        }
    })
