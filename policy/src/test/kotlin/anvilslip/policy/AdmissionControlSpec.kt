package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionControlSpec :
    DescribeSpec({
        val pass = 10.milliseconds

        fun full(options: AdmissionOptions = AdmissionOptions()) = AdmissionHarness(options = options).apply { fill(32) }

        describe("a service with few engines") {
            it("refuses at once what engines are too busy for, since they seldom become free within its target") {
                val few = AdmissionHarness(engines = 31).apply { fill(31) }
                few.ask(few.request()).shouldBeInstanceOf<DispatchDecision.Refuse>().reason shouldBe DispatchRefusal.BUSY
            }

            it("lets a request wait for a free adapter place for 100 ms, and no longer") {
                val few = AdmissionHarness(engines = 1, slots = 64)
                repeat(2) { few.control.ask(few.request(adapter = "a$it"), few.now, few.now).shouldBeInstanceOf<Admission.Load>() }
                few.ask(few.request(adapter = "other")).shouldBeNull()
                few.wakeAfter(75.milliseconds).shouldBeEmpty()
                val refusal =
                    few
                        .wakeAfter(25.milliseconds)
                        .single()
                        .decision
                        .shouldBeInstanceOf<DispatchDecision.Refuse>()
                refusal.reason shouldBe DispatchRefusal.LOADING
            }
        }

        describe("a request that cannot start") {
            it("starts as soon as an engine has room") {
                val queue = full()
                val waiting = queue.request()
                queue.ask(waiting).shouldBeNull()
                queue.wakeAfter(pass).shouldBeEmpty()
                queue.endOne()
                val answer = queue.wakeAfter(5.milliseconds).single()
                answer.key shouldBe waiting.key
                answer.decision.shouldBeInstanceOf<DispatchDecision.Send>()
            }

            it("is refused at once if it cannot be answered before its deadline") {
                val queue = full()
                val refusal = queue.ask(queue.request(remaining = 50.milliseconds)).shouldBeInstanceOf<DispatchDecision.Refuse>()
                refusal.retryMillis shouldBeLessThan 18
            }

            // Guards against requests that wait until their deadline although no server of the service may be used any more.
            it("is refused at the next try if the zones of all servers are evacuated") {
                val queue = full()
                queue.ask(queue.request()).shouldBeNull()
                queue.dispatcher.setEvacuatedZones(setOf("z1"))
                val refusal =
                    queue
                        .wakeAfter(20.milliseconds)
                        .single()
                        .decision
                        .shouldBeInstanceOf<DispatchDecision.Refuse>()
                refusal.reason shouldBe DispatchRefusal.EVACUATED
            }

            it("is refused when its deadline comes too close") {
                val queue = full()
                queue.ask(queue.request(remaining = 200.milliseconds)).shouldBeNull()
                queue
                    .wakeAfter(190.milliseconds)
                    .single()
                    .decision
                    .shouldBeInstanceOf<DispatchDecision.Refuse>()
            }
        }

        describe("the order of the queue") {
            fun AdmissionHarness.sentAfterEachEnd(count: Int): List<RequestKey> =
                List(count) {
                    endOne()
                    wakeAfter(pass).single { it.decision is DispatchDecision.Send }.key
                }

            it("is by priority, then by target") {
                val queue = full()
                val requests =
                    listOf(
                        queue.request(2),
                        queue.request(1),
                        queue.request(0, target = 900.milliseconds),
                        queue.request(0, target = 800.milliseconds),
                    )
                for (request in requests) queue.ask(request).shouldBeNull()
                queue.sentAfterEachEnd(4) shouldContainExactly requests.reversed().map { it.key }
            }

            it("puts requests that cannot meet their target last, those with the least work first") {
                val queue = full()
                val large = queue.request(tokens = 4_000, target = 100.milliseconds)
                val small = queue.request(tokens = 200, target = 0.milliseconds)
                val inTime = queue.request(tokens = 4_000)
                for (request in listOf(large, small, inTime)) queue.ask(request).shouldBeNull()
                queue.sentAfterEachEnd(3) shouldContainExactly listOf(inTime.key, small.key, large.key)
            }

            it("gives one of eight placements to the request that has waited longest") {
                val queue = full()
                val oldest = queue.request(2)
                queue.ask(oldest).shouldBeNull()
                queue.now += pass
                repeat(20) { queue.ask(queue.request(0)).shouldBeNull() }
                queue.sentAfterEachEnd(8).last() shouldBe oldest.key
            }
        }

        describe("a load that lasts of twice what engines can do") {
            // Guards against a queue in which a request waits behind less urgent ones, or never gets its turn.
            it("serves no priority less often than a less urgent one, and starves none") {
                val queue = full()
                var next = 0
                val sent = queue.play(3_000) { List(2) { queue.request(next++ % 3, remaining = 5.seconds) } }
                val served = (0..2).map { priority -> sent.count { it.priority == priority } }
                served[0] shouldBeGreaterThanOrEqualTo served[1]
                served[1] shouldBeGreaterThanOrEqualTo served[2]
                // The three priorities share one in eight placements, by age.
                served[2] shouldBeGreaterThan sent.size / 8 / 3
            }

            it("serves the largest prompts of the least urgent priority") {
                val queue = full()
                var next = 0
                val sent =
                    queue.play(3_000) {
                        listOf(
                            queue.request(0, remaining = 5.seconds),
                            queue.request(2, tokens = if (next++ % 10 == 0) 8_000 else 500, remaining = 15.seconds),
                        )
                    }
                val least = sent.filter { it.priority == 2 }
                val large = least.count { it.promptTokens == 8_000 }
                large shouldBeGreaterThan (least.size - large) / 9 / 2
            }

            it("takes nothing from other workspaces if one sends ten times as much as usual") {
                val names = listOf("flood", "b", "c", "d")
                val limits = names.map { ServingWorkspace(it, listOf(it), ratePerSecond = 1_000.0, burst = 1_000.0) }
                val queue = AdmissionHarness(workspaces = limits).apply { fill(32) }
                var others = 0
                val sent =
                    queue.play(3_000) { round ->
                        val flood = List(if (round % 4 == 0) 10 else 0) { queue.request(workspace = "flood", remaining = 5.seconds) }
                        val other =
                            if (round % 4 !=
                                0
                            ) {
                                listOf(queue.request(workspace = names[round % 4], remaining = 5.seconds))
                            } else {
                                emptyList()
                            }
                        others += other.size
                        flood + other
                    }
                sent.count { it.workspace != "flood" } shouldBeGreaterThan others * 8 / 10
            }
        }

        describe("a request that was answered by Wait") {
            fun AdmissionHarness.answeredByWait(): DispatchRequest {
                val waiting = request()
                ask(waiting).shouldBeNull()
                wakeAfter(300.milliseconds).single().decision shouldBe DispatchDecision.Wait
                return waiting
            }

            // Guards against a request that is charged and counted as sent although no entry instance sends it.
            it("is not placed before its entry instance asks again") {
                val queue = full()
                val waiting = queue.answeredByWait()
                queue.endOne()
                queue.wakeAfter(pass).shouldBeEmpty()
                queue.dispatcher.runningRequests shouldBe 31
                queue.ask(waiting.after(310.milliseconds)).shouldBeNull()
                queue
                    .wakeAfter(pass)
                    .single()
                    .decision
                    .shouldBeInstanceOf<DispatchDecision.Send>()
                queue.dispatcher.runningRequests shouldBe 32
            }

            it("keeps its place") {
                val queue = full()
                val waiting = queue.answeredByWait()
                val later = queue.request(target = 700.milliseconds)
                queue.ask(later.copy(targetMillis = 2_000)).shouldBeNull()
                queue.ask(waiting.after(300.milliseconds)).shouldBeNull()
                queue.endOne()
                queue.wakeAfter(pass).single().key shouldBe waiting.key
            }

            it("loses its place if its entry instance does not ask again within 500 ms") {
                val queue = full()
                queue.answeredByWait()
                queue.wakeAfter(490.milliseconds).shouldBeEmpty()
                queue.control.waitingByPriority[0] shouldBe 1
                queue.wakeAfter(20.milliseconds).shouldBeEmpty()
                queue.control.waitingByPriority[0] shouldBe 0
            }
        }

        describe("a request whose client has left") {
            it("loses its place") {
                val queue = full()
                val left = queue.request()
                val stays = queue.request()
                for (request in listOf(left, stays)) queue.ask(request).shouldBeNull()
                queue.control.withdraw(left.key)
                queue.endOne()
                queue.wakeAfter(pass).single().key shouldBe stays.key
            }
        }

        describe("a change of leader") {
            it("neither loses nor doubles a waiting request") {
                val requests = full().let { old -> List(10) { old.request() }.onEach { old.ask(it).shouldBeNull() } }
                val next = full()
                for (request in requests) repeat(2) { next.ask(request.copy(entry = "other")).shouldBeNull() }
                val sent =
                    List(12) {
                        next.endOne()
                        next.wakeAfter(pass)
                    }.flatten().filter { it.decision is DispatchDecision.Send }
                sent.map { it.key.number } shouldContainExactly requests.map { it.number }
            }
        }

        describe("a full queue") {
            it("refuses the request that would be served last") {
                val queue = full(AdmissionOptions(maxWaiting = 2))
                val urgent = queue.request(0)
                val least = queue.request(2)
                for (request in listOf(urgent, least)) queue.ask(request).shouldBeNull()
                queue.ask(queue.request(1)).shouldBeNull()
                val refused = queue.wakeAfter(1.milliseconds).single()
                refused.key shouldBe least.key
                refused.decision.shouldBeInstanceOf<DispatchDecision.Refuse>()
                queue.ask(queue.request(2)).shouldBeInstanceOf<DispatchDecision.Refuse>()
            }
        }

        describe("a workspace with a limit") {
            // Guards against 429 for a second attempt, whose target has passed.
            it("is not refused as over its limit because a target has passed") {
                val workspaces = listOf(ServingWorkspace("w", listOf("k"), ratePerSecond = 1_000.0, burst = 1_000.0))
                val queue = AdmissionHarness(workspaces = workspaces)
                queue.ask(queue.request(workspace = "w", target = (-100).milliseconds)).shouldBeInstanceOf<DispatchDecision.Send>()
            }

            // Guards against a flood that fills the queue, since a request is charged only when it is sent.
            it("is refused at once what its limit does not allow after its waiting requests") {
                val workspaces = listOf(ServingWorkspace("w", listOf("k"), ratePerSecond = 1_000.0, burst = 1_000.0))
                val queue = AdmissionHarness(workspaces = workspaces).apply { fill(32) }
                val decisions = List(4) { queue.ask(queue.request(workspace = "w", remaining = 4.seconds).copy(charge = 600)) }
                decisions.take(3).forEach { it.shouldBeNull() }
                decisions.last().shouldBeInstanceOf<DispatchDecision.Refuse>().reason shouldBe DispatchRefusal.OVER_LIMIT
            }
        }

        describe("requests that are refused together") {
            it("are told different times, within a quarter of the expected one") {
                val queue = full(AdmissionOptions(maxWaiting = 32))
                repeat(32) { queue.ask(queue.request(0, tokens = 20_000)).shouldBeNull() }
                val retries =
                    List(50) { queue.ask(queue.request(1)).shouldBeInstanceOf<DispatchDecision.Refuse>().retryMillis }
                retries.toSet().size shouldBeGreaterThan 40
                (retries.max() * 3) shouldBeLessThan retries.min() * 5 + 10
            }
        }

        describe("a queue of 5,000 requests") {
            // Guards against passes that scan all waiting requests, which would delay the renewal of the leader's lease.
            it("costs little per decision") {
                val queue = AdmissionHarness(engines = 98, options = AdmissionOptions(maxWaiting = 5_000)).apply { fill(98) }
                val requests = List(5_000) { queue.request(it % 3, workspace = "w${it % 200}", remaining = 60.seconds) }

                fun measure(action: () -> Unit): Duration {
                    val startedAt = System.nanoTime()
                    action()
                    return (System.nanoTime() - startedAt).nanoseconds
                }
                val asking = measure { for (request in requests) queue.ask(request).shouldBeNull() }
                queue.control.waitingByPriority.values
                    .sum() shouldBe 5_000
                val events = 200
                val passing =
                    measure {
                        repeat(events) {
                            queue.endOne()
                            queue.wakeAfter(1.milliseconds)
                        }
                    }
                println("queue of 5,000: ${asking / 5_000} for a question, ${passing / events} for an event and a pass")
                asking / 5_000 shouldBeLessThan 1.milliseconds
                passing / events shouldBeLessThan 5.milliseconds
            }
        }
    })
