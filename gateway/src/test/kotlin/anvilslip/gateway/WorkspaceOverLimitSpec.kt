package anvilslip.gateway

import anvilslip.gateway.SimulatedCluster.Companion.toTokens
import anvilslip.kernel.Clock
import anvilslip.policy.ServingWorkspace
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against a workspace that is served more than its limit while entry instances decide without a leader. */
class WorkspaceOverLimitSpec :
    DescribeSpec({
        val rate = 70_000.0
        val workspace = ServingWorkspace("w", listOf("k"), ratePerSecond = rate, burst = rate)
        val window = 8.seconds
        val allowed = ((window.toTokens(rate) + workspace.burst) * 1.1 + 17_000).toLong()
        val usual = rate / 1.8
        val flood = usual * 10

        /** Runs [scenario] in virtual time on a cluster of [entries] entry instances. */
        fun simulate(
            entries: Int = 9,
            seed: Int = 1,
            scenario: suspend TestScope.(SimulatedCluster) -> Unit,
        ): SimulatedCluster {
            lateinit var cluster: SimulatedCluster
            runTest(timeout = 2.minutes) {
                val clock =
                    object : Clock {
                        override fun now(): Instant = Instant.fromEpochMilliseconds(testScheduler.currentTime)

                        override fun elapsed(): Duration = testScheduler.currentTime.milliseconds
                    }
                cluster = SimulatedCluster(entries, workspace, Random(seed), clock, backgroundScope)
                cluster.start()
                delay(1.seconds)
                scenario(cluster)
                coroutineContext.cancelChildren()
            }
            return cluster
        }

        fun SimulatedCluster.shouldStayWithinLimit() {
            maxTokens(window) shouldBeLessThanOrEqual allowed
        }

        describe("a workspace that sends ten times its usual") {
            it("is served at its limit by one leader") {
                val cluster = simulate { it.load(flood, 16.seconds) }
                cluster.shouldStayWithinLimit()
                cluster.maxTokens(window) shouldBeGreaterThan window.toTokens(rate).toLong()
            }

            it("stays within its limit while control instances that have just started count too few entry instances") {
                val cluster =
                    simulate { cluster ->
                        launch { cluster.load(flood, 12.seconds) }
                        delay(3.seconds)
                        cluster.loseLeader()
                        delay(1.seconds)
                        repeat(2) {
                            cluster.controls.forEach { control ->
                                cluster.restart(control)
                                delay(200.milliseconds)
                            }
                        }
                        cluster.elect(cluster.controls[1])
                    }
                cluster.shouldStayWithinLimit()
            }

            it("stays within its limit while most entry instances are about to stop") {
                val cluster =
                    simulate { cluster ->
                        launch { cluster.load(flood, 12.seconds, cluster.entries.drop(6)) }
                        launch { cluster.load(flood, 12.seconds, cluster.entries.take(6)) }
                        delay(2.seconds)
                        cluster.entries.take(6).forEach { it.isReady = false }
                        delay(1.seconds)
                        cluster.loseLeader()
                        delay(3.seconds)
                        cluster.elect(cluster.controls[1])
                    }
                cluster.shouldStayWithinLimit()
            }

            it("stays within its limit while the leader is lost again and again") {
                val cluster =
                    simulate { cluster ->
                        launch { cluster.load(flood, 14.seconds) }
                        repeat(6) {
                            delay(1200.milliseconds)
                            cluster.loseLeader()
                            delay(800.milliseconds)
                            cluster.elect(cluster.controls[it % 3])
                        }
                    }
                cluster.shouldStayWithinLimit()
            }

            it("stays within its limit while the leader answers too late") {
                val cluster =
                    simulate { cluster ->
                        launch { cluster.load(flood, 14.seconds) }
                        delay(3.seconds)
                        cluster.controls[0].answerTime = 460.milliseconds
                    }
                cluster.shouldStayWithinLimit()
            }

            it("stays within its limit while the leader answers too late now and then") {
                val cluster =
                    simulate(entries = 78) { cluster ->
                        launch { cluster.load(flood, 14.seconds) }
                        repeat(28) {
                            delay(500.milliseconds)
                            cluster.controls[0].answerTime = if (it % 2 == 0) 460.milliseconds else 300.milliseconds
                        }
                    }
                cluster.shouldStayWithinLimit()
            }

            for (count in listOf(9, 78)) {
                it("stays within its limit while a third of $count entry instances is cut off") {
                    val cluster =
                        simulate(count) { cluster ->
                            launch { cluster.load(flood, 14.seconds) }
                            delay(4.seconds)
                            cluster.entries.take(count / 3).forEach { it.isCut = true }
                            delay(5.seconds)
                            cluster.entries.forEach { it.isCut = false }
                        }
                    cluster.shouldStayWithinLimit()
                }

                it("stays within its limit if its flood begins when a third of $count entry instances is cut off") {
                    val cluster =
                        simulate(count) { cluster ->
                            launch { cluster.load(usual, 4.seconds) }
                            delay(4.seconds)
                            cluster.entries.take(count / 3).forEach { it.isCut = true }
                            launch { cluster.load(flood, 10.seconds) }
                            delay(6.seconds)
                            cluster.entries.forEach { it.isCut = false }
                        }
                    cluster.shouldStayWithinLimit()
                }
            }

            it("stays within its limit under random losses of leaders, links and control instances") {
                val exceeded =
                    (1..SEEDS).plus(FAILED_SEEDS).mapNotNull { seed ->
                        val random = Random(seed)
                        val count = listOf(3, 9, 30, 78).random(random)
                        val cluster = simulate(count, seed) { cluster -> runRandomFaults(cluster, random, usual, flood) }
                        cluster.maxTokens(window).takeIf { it > allowed }?.let { "seed $seed, $count entry instances: $it of $allowed" }
                    }
                check(exceeded.isEmpty()) {
                    exceeded.joinToString("\n", prefix = "${exceeded.size} of ${SEEDS + FAILED_SEEDS.size} runs over the limit:\n")
                }
            }
        }
    }) {
    private companion object {
        const val SEEDS = 100

        /**
         * Seeds that have failed, also with reports more often than every 0.9 s. In 700, a new leader that no entry instance reached
         * saved up a burst; in the others, a leader granted whole limits for over a second after most entry instances had been cut
         * off and spent their shares.
         */
        val FAILED_SEEDS = listOf(205, 288, 349, 426, 547, 700)
        val RUN = 30.seconds

        suspend fun TestScope.runRandomFaults(
            cluster: SimulatedCluster,
            random: Random,
            usual: Double,
            flood: Double,
        ) {
            launch {
                repeat(RUN.inWholeSeconds.toInt() / 6) {
                    cluster.load(usual, random.nextInt(0, 3000).milliseconds)
                    cluster.load(flood, random.nextInt(2000, 6000).milliseconds)
                }
            }
            repeat(12) {
                delay(random.nextInt(300, 3000).milliseconds)
                applyFault(cluster, random)
            }
        }

        suspend fun TestScope.applyFault(
            cluster: SimulatedCluster,
            random: Random,
        ) {
            when (random.nextInt(5)) {
                0 -> {
                    cluster.loseLeader()
                    launch { delay(random.nextInt(600, 3000).milliseconds).also { cluster.elect(cluster.controls.random(random)) } }
                }

                1 -> {
                    val cut = cluster.entries.shuffled(random).take(1 + random.nextInt(cluster.entries.size))
                    cut.forEach { it.isCut = true }
                    launch { delay(random.nextInt(300, 6000).milliseconds).also { cut.forEach { it.isCut = false } } }
                }

                2 -> {
                    cluster.controls.forEach(cluster::restart)
                    launch { delay(random.nextInt(600, 2000).milliseconds).also { cluster.elect(cluster.controls.random(random)) } }
                }

                3 -> {
                    val slow = cluster.leader ?: return
                    slow.answerTime = random.nextInt(300, 900).milliseconds
                    launch { delay(random.nextInt(500, 4000).milliseconds).also { slow.answerTime = 2.milliseconds } }
                }

                else -> {
                    val stopping = cluster.entries.shuffled(random).take(cluster.entries.size / 2)
                    stopping.forEach { it.isReady = false }
                    launch { delay(random.nextInt(1000, 4000).milliseconds).also { stopping.forEach { it.isReady = true } } }
                }
            }
        }
    }
}
