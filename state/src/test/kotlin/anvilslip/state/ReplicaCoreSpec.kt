package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEEDS = 60L

class ReplicaCoreSpec :
    DescribeSpec({
        describe("replicas without state") {
            it("start a log only once all of them are up") {
                val replicas = SimulatedReplicas(seed = 1)
                replicas.start(replicas.hosts[0])
                replicas.start(replicas.hosts[1])
                replicas.run(5.seconds)
                replicas.hosts[0].core!!.isUninitialized shouldBe true
                replicas.start(replicas.hosts[2])
                replicas.run(5.seconds)
                replicas.leaseHolders.size shouldBe 1
            }
        }

        describe("a replica that lost its disk") {
            it("rejoins under a new identity and catches up, so that the loss of a second disk right after is tolerated") {
                val replicas = startedReplicas(seed = 2)
                repeat(50) { replicas.propose(replicas.leaseHolders.first()) }
                replicas.run(1.seconds)
                val first = replicas.hosts.first { it !in replicas.leaseHolders }
                replicas.loseDisk(first)
                replicas.start(first)
                runUntil(replicas) { replicas.fullyReplicated }
                val second = replicas.hosts.first { it != first && it !in replicas.leaseHolders }
                replicas.loseDisk(second)
                replicas.run(5.seconds)
                replicas.leaseHolders.size shouldBe 1
                replicas.checkAcknowledged(replicas.leaseHolders.first())
                replicas.acknowledgedCount shouldBe 50
            }
        }

        describe("an isolated leader") {
            it("loses its lease before another leader is elected, and steps down") {
                val replicas = startedReplicas(seed = 3)
                val isolated = replicas.leaseHolders.first()
                for (other in replicas.hosts - isolated) {
                    replicas.cutLink(isolated.name, other.name)
                    replicas.cutLink(other.name, isolated.name)
                }
                replicas.run(5.seconds)
                replicas.leaseHolders.first() shouldBe replicas.leaseHolders.single { it != isolated }
                isolated.core!!.role shouldBe ReplicaRole.FOLLOWER
            }
        }

        describe("a leader whose messages do not reach one follower") {
            it("keeps its lease while they reach the other follower") {
                val replicas = startedReplicas(seed = 5)
                val leader = replicas.leaseHolders.first()
                val follower = replicas.hosts.first { it != leader }
                replicas.cutLink(leader.name, follower.name)
                replicas.run(10.seconds)
                replicas.leaseHolders.single() shouldBe leader
            }
        }

        describe("two replicas that are partitioned from each other") {
            it("both lose the lease") {
                val replicas = SimulatedReplicas(seed = 6, names = listOf("a", "b"))
                replicas.hosts.forEach(replicas::start)
                replicas.run(5.seconds)
                replicas.leaseHolders.size shouldBe 1
                replicas.cutLink("a", "b")
                replicas.cutLink("b", "a")
                replicas.run(5.seconds)
                replicas.leaseHolders.size shouldBe 0
            }
        }

        describe("a follower that receives no messages but whose own messages arrive") {
            it("does not disrupt the leader after the partition heals") {
                val replicas = startedReplicas(seed = 4)
                val leader = replicas.leaseHolders.first()
                val follower = replicas.hosts.first { it != leader }
                for (other in replicas.hosts - follower) replicas.cutLink(other.name, follower.name)
                replicas.run(5.seconds)
                replicas.healLinks()
                replicas.run(2.seconds)
                replicas.leaseHolders.single() shouldBe leader
            }
        }

        describe("a follower that restarts at once while another one does not hear the leader") {
            // The lease of the leader depends on the follower, whose vote the other one asks for.
            it("elects nobody before the lease of its leader has ended") {
                for (seed in 1L..20L) {
                    val replicas = startedReplicas(seed)
                    val leader = replicas.leaseHolders.first()
                    val (follower, isolated) = replicas.hosts - leader
                    replicas.cutLink(leader.name, isolated.name)
                    replicas.cutLink(isolated.name, leader.name)
                    replicas.run(3.seconds)
                    replicas.cutLink(leader.name, follower.name)
                    replicas.crash(follower)
                    replicas.start(follower)
                    replicas.run(3.seconds)
                    replicas.leaseHolders.single() shouldNotBe leader
                }
            }
        }

        describe("random runs with crashes, lost disks, partitions, pauses, duplicated and reordered messages") {
            for (seed in 1L..SEEDS) {
                it("keep every invariant with seed $seed") { RandomReplicaRun(seed).run(steps = 60) shouldBeGreaterThan 0 }
            }
        }
    })

private fun startedReplicas(seed: Long): SimulatedReplicas {
    val replicas = SimulatedReplicas(seed)
    replicas.hosts.forEach(replicas::start)
    runUntil(replicas) { replicas.leaseHolders.size == 1 }
    return replicas
}

private fun runUntil(
    replicas: SimulatedReplicas,
    condition: () -> Boolean,
) {
    repeat(600) {
        if (condition()) return
        replicas.run(100.milliseconds)
    }
    error(replicas.failureMessage("condition not reached within 60 s"))
}
