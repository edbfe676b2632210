package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEEDS = 40L

/** Replicas of which three are known to all at start and any other may join; three of them are voters. */
class OpenMembershipSpec :
    DescribeSpec({
        val options = ReplicaOptions(entriesBetweenSnapshots = 40, retainedEntries = 10, voterTarget = 3)

        fun replicas(
            seed: Long,
            names: List<String> = listOf("a", "b", "c", "d"),
        ) = SimulatedReplicas(seed, names, options, members = setOf("a", "b", "c"))

        fun SimulatedReplicas.runUntil(condition: () -> Boolean) {
            repeat(600) {
                if (condition()) return
                run(100.milliseconds)
            }
            error(failureMessage("condition not reached within 60 s"))
        }

        fun SimulatedReplicas.voters() =
            leaseHolders
                .firstOrNull()
                ?.core
                ?.currentVoters
                .orEmpty()
                .map { it.instance }

        describe("a replica that is not an initial voter") {
            it("stays a non-voter while all voters are available") {
                val replicas = replicas(seed = 1)
                replicas.hosts.forEach(replicas::start)
                replicas.run(10.seconds)
                replicas.voters() shouldNotContain "d"
            }

            it("replaces a voter that is lost for good, so that the loss of another voter is tolerated") {
                val replicas = replicas(seed = 2)
                replicas.hosts.forEach(replicas::start)
                replicas.runUntil { replicas.leaseHolders.isNotEmpty() }
                replicas.crash(replicas.hosts.first { it.name in setOf("a", "b", "c") && it !in replicas.leaseHolders })
                replicas.runUntil { "d" in replicas.voters() && replicas.voters().size == 3 }
                replicas.crash(replicas.leaseHolders.single())
                replicas.runUntil { replicas.leaseHolders.isNotEmpty() }
            }
        }

        describe("a voter that was replaced while it was partitioned") {
            it("becomes a follower again without disrupting the leader") {
                val replicas = replicas(seed = 3)
                replicas.hosts.forEach(replicas::start)
                replicas.runUntil { replicas.leaseHolders.isNotEmpty() }
                val lost = replicas.hosts.first { it.name in setOf("a", "b", "c") && it !in replicas.leaseHolders }
                for (other in replicas.hosts - lost) {
                    replicas.cutLink(lost.name, other.name)
                    replicas.cutLink(other.name, lost.name)
                }
                replicas.runUntil { lost.name !in replicas.voters() && "d" in replicas.voters() }
                val leader = replicas.leaseHolders.single()
                replicas.healLinks()
                replicas.run(5.seconds)
                replicas.leaseHolders.single() shouldBe leader
                lost.core!!.commitIndex shouldBe leader.core!!.commitIndex
            }
        }

        describe("an initial voter that missed the start of the log") {
            it("receives the start message again") {
                val replicas = replicas(seed = 4, names = listOf("a", "b", "c"))
                replicas.hosts.forEach(replicas::start)
                replicas.cutLink("a", "c")
                replicas.run(3.seconds)
                replicas.healLinks()
                replicas.runUntil { replicas.hosts.all { !it.core!!.isUninitialized } }
                replicas.runUntil { "c" in replicas.voters() }
            }
        }

        describe("random runs with open membership") {
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
