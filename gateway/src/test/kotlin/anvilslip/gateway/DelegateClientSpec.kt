package anvilslip.gateway

import anvilslip.policy.LoadRanking
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that are refused, held too long or asked for too often while control is unreachable. */
@OptIn(ExperimentalCoroutinesApi::class)
class DelegateClientSpec :
    DescribeSpec({
        /** Six entry instances that know that they are cut off, and one engine. */
        fun simulate(
            usesDelegates: Boolean = true,
            scenario: suspend TestScope.(SimulatedEntries) -> Unit,
        ) = runTest {
            val clock = SchedulerClock(testScheduler)
            val engines = SimulatedEngines(1, 4, clock, backgroundScope)
            val hosts = (1..6).map { "10.0.0.$it" }
            val entries = SimulatedEntries(hosts, 4, engines, clock, backgroundScope, usesDelegates)
            entries.start()
            entries.setControlReachable(false)
            for (entry in entries.entries) entry.reachability.onLeaderSilent()
            delay(1.seconds)
            scenario(entries)
            engines.violations.shouldBeEmpty()
        }

        fun SimulatedEntries.delegates() =
            LoadRanking.delegates("engine1", entries.map { it.host }.toSet()).map { host -> entries.first { it.host == host } }

        fun SimulatedEntries.asker() = entries.first { it !in delegates() }

        describe("a request that finds no holder") {
            it("has its adapter loaded by the delegate and is sent within half its target") {
                simulate { entries ->
                    val asker = entries.asker()
                    asker.serve("a")
                    delay(100)
                    val startedAt = currentTime
                    asker.serve("b") shouldBe true
                    currentTime - startedAt shouldBeLessThanOrEqual 500
                    asker.serve("a") shouldBe true
                    entries.engines.accepted
                        .map { it.holder }
                        .toSet() shouldBe setOf(entries.delegates().first().host)
                }
            }

            it("is not asked for twice while concurrent requests wait for the same adapter") {
                simulate { entries ->
                    val asker = entries.asker()
                    asker.client.findHolder(asker.request("warm"), 1.seconds)
                    val before = entries.delegateCalls
                    val waiting = List(10) { async { asker.client.findHolder(asker.request("a"), 1.seconds) } }
                    waiting.awaitAll() shouldBe List(10) { true }
                    entries.delegateCalls - before shouldBeInRange 1..2
                    entries.engines.engines
                        .getValue("engine1")
                        .orders shouldBe 2
                }
            }

            it("is refused as before if delegates are not used") {
                simulate(usesDelegates = false) { entries ->
                    entries.asker().serve("a") shouldBe false
                    entries.delegateCalls shouldBe 0
                }
            }
        }

        describe("a delegate that is gone") {
            it("is replaced by the next in the ranking") {
                simulate { entries ->
                    val (first, second) = entries.delegates()
                    first.isDead = true
                    val asker = entries.asker()
                    asker.client.findHolder(asker.request("a"), 1.seconds) shouldBe true
                    entries.engines.accepted
                        .single()
                        .holder shouldBe second.host
                }
            }

            it("leads to a refusal together with the next, without asking a third") {
                simulate { entries ->
                    entries.delegates().forEach { it.isDead = true }
                    val asker = entries.asker()
                    val startedAt = currentTime
                    asker.client.findHolder(asker.request("a"), 1.seconds) shouldBe false
                    currentTime - startedAt shouldBeLessThanOrEqual 520
                    entries.delegateCalls shouldBe 2
                }
            }

            it("and has ordered with a higher token does not prevent the next one from ordering") {
                simulate { entries ->
                    val (first, second) = entries.delegates()
                    val asker = entries.asker()
                    asker.client.findHolder(asker.request("a"), 1.seconds) shouldBe true
                    first.isDead = true
                    asker.client.findHolder(asker.request("b"), 1.seconds) shouldBe true
                    entries.engines.accepted.map { it.holder } shouldBe listOf(first.host, second.host)
                }
            }
        }

        describe("a connection to a delegate") {
            it("is opened on demand and closed some seconds after its last use") {
                simulate { entries ->
                    val asker = entries.asker()
                    val delegate = entries.delegates().first().host
                    asker.connected.shouldBeEmpty()
                    asker.client.findHolder(asker.request("a"), 1.seconds) shouldBe true
                    asker.connected shouldContain delegate
                    delay(8.seconds)
                    asker.connected.shouldBeEmpty()
                }
            }
        }
    })
