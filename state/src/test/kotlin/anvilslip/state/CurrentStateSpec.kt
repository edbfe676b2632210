package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against replicas that count as current with the older state of their last snapshot, and against replicas that never count as
 * current, without which no entry instance can start.
 */
class CurrentStateSpec :
    DescribeSpec({
        fun SimulatedReplicas.runUntil(
            limit: Duration = 10.seconds,
            condition: () -> Boolean,
        ): Duration {
            val start = now
            while (!condition()) {
                check(now - start < limit) { failureMessage("condition not reached within $limit") }
                run(10.milliseconds)
            }
            return now - start
        }

        fun started(seed: Long): SimulatedReplicas {
            val replicas = SimulatedReplicas(seed, listOf("a", "b", "c", "d", "e"))
            replicas.hosts.forEach(replicas::start)
            replicas.runUntil { replicas.fullyReplicated }
            return replicas
        }

        fun SimulatedReplicas.change(time: Duration) = run(time) { if (random.nextInt(4) == 0) leaseHolders.forEach { propose(it) } }

        /** Runs until [hosts] are current, checks the state of each at that moment, and returns how long the last one took. */
        fun SimulatedReplicas.awaitCurrent(hosts: List<SimulatedReplicas.Host>): Duration {
            val waiting = hosts.toMutableList()
            return runUntil {
                val current = waiting.filter { it.core!!.isCurrent }
                current.forEach(::checkAcknowledged)
                waiting.removeAll(current)
                waiting.isEmpty()
            }
        }

        describe("replicas that are all killed and started again") {
            it("are current again soon after a leader is elected, each with every acknowledged change") {
                var longest = Duration.ZERO
                var longestElection = Duration.ZERO
                for (seed in 1L..SEEDS) {
                    val replicas = started(seed)
                    replicas.change((200 + 50 * seed % 1000).milliseconds)
                    replicas.hosts.forEach(replicas::crash)
                    replicas.run(500.milliseconds)
                    replicas.hosts.forEach(replicas::start)
                    replicas.hosts.none { it.core!!.isCurrent } shouldBe true
                    val start = replicas.now
                    replicas.runUntil { replicas.hosts.any { it.core!!.isCurrent } }
                    longestElection = maxOf(longestElection, replicas.now - start)
                    replicas.awaitCurrent(replicas.hosts.filter { it.core!!.isCurrent })
                    replicas.awaitCurrent(replicas.hosts)
                    longest = maxOf(longest, replicas.now - start)
                }
                println(
                    "$SEEDS kills of five replicas: the first is current after at most $longestElection, the last after at most $longest",
                )
                longest.inWholeMilliseconds shouldBeLessThan 4_000
            }
        }

        describe("a replica that is started again while the others go on") {
            it("is current once it has every change that was acknowledged before its start") {
                var longest = Duration.ZERO
                for (seed in 1L..SEEDS) {
                    val replicas = started(seed)
                    repeat(5) {
                        val host = replicas.hosts.random(replicas.random)
                        replicas.crash(host)
                        replicas.change(replicas.random.nextInt(100, 3000).milliseconds)
                        replicas.runUntil { replicas.leaseHolders.size == 1 }
                        replicas.run(200.milliseconds)
                        replicas.start(host)
                        longest = maxOf(longest, replicas.awaitCurrent(listOf(host)))
                    }
                }
                println("${SEEDS * 5} restarts of one of five replicas: current after at most $longest")
                longest.inWholeMilliseconds shouldBeLessThan 1_000
            }
        }

        describe("a replica that is started again and reaches no majority") {
            it("does not become current") {
                val replicas = started(seed = 1)
                replicas.change(1.seconds)
                replicas.hosts.forEach(replicas::crash)
                replicas.hosts.take(2).forEach(replicas::start)
                replicas.run(10.seconds)
                replicas.hosts.take(2).none { it.core!!.isCurrent } shouldBe true
            }
        }
    }) {
    private companion object {
        const val SEEDS = 60L
    }
}
