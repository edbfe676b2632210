package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards against an instance that is cut off and forgets the others, or keeps those that a lost control instance reported. */
class EntryHostsSpec :
    DescribeSpec({
        describe("the hosts of the entry instances") {
            it("are those that any control instance reports") {
                val hosts = EntryHosts()
                hosts.record("c1", listOf("a", "b"), 1.seconds)
                hosts.record("c2", emptyList(), 1.seconds)
                hosts.record("c1", null, 2.seconds)
                hosts.all shouldBe setOf("a", "b")
            }

            it("are kept while no control instance answers") {
                val hosts = EntryHosts()
                hosts.record("c1", listOf("a", "b"), 1.seconds)
                hosts.record("c1", null, 2.minutes)
                hosts.all shouldBe setOf("a", "b")
            }

            it("are dropped some time after the control instance that reported them has answered last, if others answer") {
                val hosts = EntryHosts()
                hosts.record("c1", listOf("a"), 1.seconds)
                hosts.record("c2", listOf("b"), 2.seconds)
                hosts.record("c2", null, 20.seconds)
                hosts.all shouldBe setOf("b")
            }
        }

        describe("the time by which the reports of servers age") {
            it("stands still while no control instance answers and goes on from there") {
                val contact = ContactClock()
                contact.time(5.seconds) shouldBe 5.seconds
                contact.recordAnswer(10.seconds)
                contact.time(11.seconds) shouldBe 11.seconds
                contact.time(30.seconds) shouldBe 12.seconds
                contact.recordAnswer(40.seconds)
                contact.time(41.seconds) shouldBe 13.seconds
            }
        }
    })
