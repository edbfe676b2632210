package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class TwoRejoinsSpec :
    DescribeSpec({
        fun voter(host: String) = ReplicaId(host, "old")

        fun joiner(host: String) = ReplicaId(host, "new")

        describe("two of five voters that lost their disks and rejoin at the same time") {
            // Guards against three voters for a moment, in which a majority is two and does not outlive the loss of two disks.
            it("are replaced one after the other, with four voters at the least") {
                val options = ReplicaOptions(voterTarget = 5)
                val followers = Followers(voter("a"), options)
                var voters = listOf("a", "b", "c", "d", "e").map(::voter).toSet()
                val now = 10.seconds
                followers.add(voters - voter("a"), next = 11, now)
                val counts = mutableListOf<Int>()
                repeat(4) {
                    for (host in listOf("b", "c")) {
                        if (joiner(host) !in voters) followers.join(joiner(host), next = 11, now).recordMatch(10)
                    }
                    voters = followers.nextVoters(voters, commit = 10, now) ?: voters
                    counts += voters.size
                }
                counts.min() shouldBeGreaterThanOrEqual 4
                voters shouldBe setOf(voter("a"), joiner("b"), joiner("c"), voter("d"), voter("e"))
            }
        }
    })
