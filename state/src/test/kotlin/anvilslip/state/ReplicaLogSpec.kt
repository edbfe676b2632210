package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class ReplicaLogSpec :
    DescribeSpec({
        describe("the entries from an index") {
            val log = ReplicaLog(RecoveredData("id", entries = (1L..5L).map { LogEntry(it, 1, Payload.Noop) }))

            it("are all following entries if there is no limit") {
                log.from(3, Int.MAX_VALUE).map { it.index } shouldBe listOf(3L, 4L, 5L)
            }

            it("are no more than the limit") {
                log.from(2, 2).map { it.index } shouldBe listOf(2L, 3L)
            }

            it("are none after the end of the log") {
                log.from(6, 10) shouldBe emptyList()
            }
        }
    })
