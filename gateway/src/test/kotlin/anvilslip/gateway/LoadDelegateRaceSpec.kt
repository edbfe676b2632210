package anvilslip.gateway

import anvilslip.gateway.SimulatedEngines.Companion.MODEL
import anvilslip.gateway.SimulatedEngines.Companion.SERVICE
import anvilslip.policy.LeaderFencing
import anvilslip.wire.PeerMessage.DelegateLoad
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlin.random.Random

/**
 * Guards against more adapters than slots, two holders of one token, and accepted orders with a lower token, under random schedules of two
 * delegates that both consider themselves in charge, a returning leader, late orders, lost replies and engine restarts.
 */
class LoadDelegateRaceSpec :
    DescribeSpec({
        val slots = 3

        /** A leader that orders at random, with the steps of the product's leader: read the state, evict if necessary, load. */
        class RandomLeader(
            private val engines: SimulatedEngines,
            term: Long,
            private val random: Random,
        ) {
            private val fencing = LeaderFencing(term)
            private val client = RetryingEngineClient(engines.client("leader$term"))

            suspend fun run(steps: Int) =
                repeat(steps) {
                    delay(random.nextLong(5, 80))
                    step(engines.engines.keys.random(random))
                }

            private suspend fun step(server: String) {
                val state = client.queryInventory(server, "$server:80") ?: return
                val held =
                    state.models
                        .single()
                        .adapters.keys
                val occupied = held.size + state.pending.values.sumOf { it.size }
                if (occupied < slots) {
                    send(server, "a${random.nextInt(ADAPTERS)}", isLoad = true, state.orders)
                } else {
                    send(server, held.randomOrNull(random) ?: return, isLoad = false, state.orders)
                }
            }

            private suspend fun send(
                server: String,
                adapter: String,
                isLoad: Boolean,
                expectedOrders: Long,
            ) {
                val token = fencing.tokenFor(server) ?: return
                val order = EngineOrder(server, "$server:80", isLoad, MODEL, adapter, null, expectedOrders)
                if (client.sendOrder(order, token.value) == OrderReply.FENCED) fencing.recordRefused(server, token)
            }
        }

        suspend fun askAtRandom(
            entry: SimulatedEntries.Entry,
            engines: SimulatedEngines,
            random: Random,
        ) = repeat(80) {
            delay(random.nextLong(5, 60))
            entry.delegate.load(DelegateLoad(SERVICE, engines.engines.keys.random(random), MODEL, "a${random.nextInt(ADAPTERS)}"))
        }

        /** Restores contact with control on some of the instances at random times. */
        suspend fun restoreContact(
            entries: SimulatedEntries,
            random: Random,
        ) = repeat(3) {
            delay(random.nextLong(200, 1500))
            val entry = entries.entries.random(random)
            when (random.nextInt(3)) {
                0 -> entry.reachableControls = SimulatedEntries.CONTROLS.take(3).toSet()
                1 -> entry.reachableControls = emptySet()
                else -> entry.view.observeLeader(SimulatedEntries.CONTROLS[2], SimulatedEntries.TERM + random.nextInt(2))
            }
            entry.reachability.onLeaderSilent()
        }

        suspend fun restartAtRandom(
            engines: SimulatedEngines,
            random: Random,
        ) = repeat(random.nextInt(3)) {
            delay(random.nextLong(2000))
            engines.engines.values
                .random(random)
                .restart()
        }

        fun play(seed: Int): SimulatedEngines {
            lateinit var engines: SimulatedEngines
            runTest {
                val random = Random(seed)
                val clock = SchedulerClock(testScheduler)
                val faults = SimulatedEngines.Faults(random.nextDouble() * 0.1, random.nextDouble() * 0.3, random.nextDouble() * 0.2)
                engines = SimulatedEngines(3, slots, clock, backgroundScope, random, faults)
                val entries = SimulatedEntries(listOf("10.0.0.1", "10.0.0.2"), slots, engines, clock, backgroundScope)
                entries.start()
                entries.setControlReachable(false)
                for (entry in entries.entries) entry.reachability.onLeaderSilent()
                delay(600)
                val run: CoroutineScope.() -> Unit = {
                    for (entry in entries.entries) launch { askAtRandom(entry, engines, random) }
                    launch { delay(random.nextLong(2500)).also { RandomLeader(engines, SimulatedEntries.TERM, random).run(25) } }
                    launch { delay(random.nextLong(4000)).also { RandomLeader(engines, SimulatedEntries.TERM + 1, random).run(25) } }
                    launch { restoreContact(entries, random) }
                    launch { restartAtRandom(engines, random) }
                }
                launch { run() }.join()
                delay(2_000)
            }
            return engines
        }

        describe("orders under random schedules") {
            it("never exceed slots, share a token, repeat a refused one, or are accepted with a lower token") {
                val acceptedBy = HashMap<String, Int>()
                for (seed in 1..SEEDS) {
                    val engines = play(seed)
                    withClue("seed $seed") {
                        engines.violations.shouldBeEmpty()
                        for ((_, orders) in engines.accepted.groupBy { it.engine to it.boot }) {
                            orders.map { it.token } shouldBe orders.map { it.token }.sorted()
                        }
                    }
                    for (order in engines.accepted) acceptedBy.merge(order.holder, 1, Int::plus)
                }
                println("accepted orders over $SEEDS seeds: $acceptedBy")
                for (holder in listOf("10.0.0.1", "10.0.0.2", "leader3", "leader4")) {
                    withClue(holder) { acceptedBy.getValue(holder) shouldBeGreaterThan SEEDS }
                }
            }
        }
    }) {
    private companion object {
        const val SEEDS = 300
        const val ADAPTERS = 8
    }
}
