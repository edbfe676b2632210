package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEEDS = 40L

/** Replicas that find each other through three founders, of which three vote. */
class OpenMembershipSpec :
    DescribeSpec({
        val options = ReplicaOptions(entriesBetweenSnapshots = 40, retainedEntries = 10, voterTarget = 3)

        fun replicas(
            seed: Long,
            names: List<String> = listOf("a", "b", "c", "d"),
        ) = SimulatedReplicas(seed, names, options, founders = setOf("a", "b", "c"))

        fun SimulatedReplicas.await(condition: () -> Boolean) {
            repeat(600) {
                if (condition()) return
                run(100.milliseconds)
            }
            error(fail("not reached"))
        }

        fun SimulatedReplicas.voters() =
            leaseHolders
                .firstOrNull()
                ?.core
                ?.currentVoters
                .orEmpty()
                .map { it.instance }

        describe("a replica that is none of the founders") {
            it("follows without a vote while all voters are there") {
                val replicas = replicas(seed = 1)
                replicas.hosts.forEach(replicas::start)
                replicas.run(10.seconds)
                replicas.voters() shouldNotContain "d"
            }

            it("takes the place of a voter that is lost for good, so that another loss is borne") {
                val replicas = replicas(seed = 2)
                replicas.hosts.forEach(replicas::start)
                replicas.await { replicas.leaseHolders.isNotEmpty() }
                replicas.crash(replicas.hosts.first { it.name in setOf("a", "b", "c") && it !in replicas.leaseHolders })
                replicas.await { "d" in replicas.voters() && replicas.voters().size == 3 }
                replicas.crash(replicas.leaseHolders.single())
                replicas.await { replicas.leaseHolders.isNotEmpty() }
            }
        }

        describe("a voter that was replaced while it was cut off") {
            it("is taken back as a follower and unseats nobody") {
                val replicas = replicas(seed = 3)
                replicas.hosts.forEach(replicas::start)
                replicas.await { replicas.leaseHolders.isNotEmpty() }
                val lost = replicas.hosts.first { it.name in setOf("a", "b", "c") && it !in replicas.leaseHolders }
                for (other in replicas.hosts - lost) {
                    replicas.cut(lost.name, other.name)
                    replicas.cut(other.name, lost.name)
                }
                replicas.await { lost.name !in replicas.voters() && "d" in replicas.voters() }
                val leader = replicas.leaseHolders.single()
                replicas.heal()
                replicas.run(5.seconds)
                replicas.leaseHolders.single() shouldBe leader
                lost.core!!.commitIndex shouldBe leader.core!!.commitIndex
            }
        }

        describe("a founder that missed the founding") {
            it("is told again") {
                val replicas = replicas(seed = 4, names = listOf("a", "b", "c"))
                replicas.hosts.forEach(replicas::start)
                replicas.cut("a", "c")
                replicas.run(3.seconds)
                replicas.heal()
                replicas.await { replicas.hosts.all { !it.core!!.isUninitialized } }
                replicas.await { "c" in replicas.voters() }
            }
        }

        describe("random runs in which anyone may join") {
            for (seed in 1L..SEEDS) {
                it("keep every invariant with seed $seed") {
                    RandomReplicaRun(
                        seed,
                        replicas(seed, listOf("a", "b", "c", "d", "e").take(4 + (seed % 2).toInt())),
                    ).run(steps = 60) shouldBeGreaterThan
                        0
                }
            }
        }
    })
