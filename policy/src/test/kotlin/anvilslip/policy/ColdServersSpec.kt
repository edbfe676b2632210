package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class ColdServersSpec :
    DescribeSpec({
        val service = BackendService("s", 1, coldStart = 3.seconds, coldRequestsPerSecond = 8.0)

        fun report(
            coldMillis: Long,
            sequence: Long = 1,
            startedAt: Long = 1,
        ) = ServerReport("a", "s", "a:80", "z1", ServerPhase.READY, startedAt, sequence, coldMillis = coldMillis)

        fun ColdServers.isColdAt(at: Duration) = isCold(report(0), service, at)

        describe("a server that has started") {
            it("is cold for as long as it reports") {
                val servers = ColdServers().apply { observe(report(2_000), 1.seconds) }
                servers.isColdAt(2.9.seconds) shouldBe true
                servers.isColdAt(3.seconds) shouldBe false
            }

            it("is warm if it reports so") {
                ColdServers().apply { observe(report(0), 1.seconds) }.isColdAt(1.seconds) shouldBe false
            }

            it("is cold again after another start") {
                val servers = ColdServers().apply { observe(report(0), 1.seconds) }
                servers.observe(report(2_000, startedAt = 2), 5.seconds)
                servers.isColdAt(6.seconds) shouldBe true
            }

            it("is not cold for longer because a relayed report repeats an old time") {
                val servers = ColdServers()
                repeat(3) { servers.observe(report(2_000, sequence = it + 1L), it.seconds) }
                servers.isColdAt(2.seconds) shouldBe false
            }

            it("is never cold if its service states no limit for cold servers") {
                val servers = ColdServers().apply { observe(report(2_000), 1.seconds) }
                servers.isCold(report(0), service.copy(coldRequestsPerSecond = 0.0), 2.seconds) shouldBe false
            }
        }

        describe("a server whose zone returns from an evacuation") {
            val servers = ColdServers()
            servers.observe(report(0), 1.seconds)
            servers.markZoneCold("z1", 10.seconds)

            it("is cold for the cold start of its service, whatever it reported before") {
                servers.isColdAt(12.9.seconds) shouldBe true
                servers.isColdAt(13.seconds) shouldBe false
            }

            it("is cold for longer if it reports so, but not shorter") {
                servers.observe(report(0, sequence = 2), 10.5.seconds)
                servers.isColdAt(12.9.seconds) shouldBe true
                servers.observe(report(4_000, sequence = 3), 11.seconds)
                servers.observe(report(100, sequence = 4), 12.seconds)
                servers.isColdAt(14.9.seconds) shouldBe true
                servers.isColdAt(15.seconds) shouldBe false
            }
        }
    })
