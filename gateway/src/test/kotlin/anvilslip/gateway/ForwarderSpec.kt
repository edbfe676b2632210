package anvilslip.gateway

import anvilslip.kernel.SystemClock
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRequest
import anvilslip.policy.ServerIncarnation
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.delay
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

class ForwarderSpec :
    DescribeSpec({
        fun wholeResponse(
            head: String,
            body: String = "yes",
            extra: String = "",
        ): String {
            val id = head.lineSequence().first { it.startsWith("id: ") }.trim()
            return "HTTP/1.1 200 OK\r\n$id\r\nContent-Length: ${body.length}\r\n\r\n$body$extra"
        }

        fun streamResponse(
            head: String,
            text: String,
            end: String = "0\r\n\r\n",
        ): String {
            val id = head.lineSequence().first { it.startsWith("id: ") }.trim()
            val chunk = text.length.toString(16)
            return "HTTP/1.1 200 OK\r\n$id\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n$chunk\r\n$text\r\n$end"
        }

        /** Creates a server that crashes on a request, on the second one if [before] gives the answer to the first. */
        fun crashingServer(before: ((head: String) -> String)? = null): ScriptedServer {
            lateinit var server: ScriptedServer
            server =
                ScriptedServer { head, _ ->
                    if (before != null && server.requests.size == 1) return@ScriptedServer before(head)
                    server.close()
                    null
                }
            return server
        }

        describe("a server that says in its answers that it is leaving") {
            // Guards against requests that reach a leaving server before this instance has heard of it from a control instance.
            it("gets no more requests from this instance, and the answer is relayed") {
                val leaving = ScriptedServer { head, _ -> wholeResponse(head).replaceFirst("\r\n", "\r\nleaving: 1\r\n") }
                val staying = ScriptedServer { head, _ -> wholeResponse(head) }
                withForwarder(listOf(leaving, staying)) { call, _ ->
                    repeat(5) { call("/again/1") shouldEndWith "yes" }
                    leaving.requests shouldHaveSize 1
                    staying.requests shouldHaveSize 4
                }
            }
        }

        describe("a server that turns a request away and asks for a pause") {
            fun pausingServer(millis: Long) =
                ScriptedServer { _, _ -> "HTTP/1.1 503 Busy\r\nnot-run: 1\r\npause: $millis\r\nContent-Length: 0\r\n\r\n" }

            // Guards against a server that is overloaded being sent every request first, only to turn it away.
            it("gets no requests from this instance until the pause ends") {
                val pausing = pausingServer(millis = 700)
                val free = ScriptedServer { head, _ -> wholeResponse(head) }
                withForwarder(listOf(pausing, free)) { call, _ ->
                    repeat(5) { call("/again/1") shouldEndWith "yes" }
                    pausing.requests shouldHaveSize 1
                    delay(800)
                    call("/again/1") shouldEndWith "yes"
                    pausing.requests shouldHaveSize 2
                }
            }

            it("is not asked although it is the only one, and the request is refused at once as not run") {
                val pausing = pausingServer(millis = 60_000)
                withForwarder(listOf(pausing)) { call, _ ->
                    repeat(3) { call("/once/1") shouldStartWith "HTTP/1.1 503" }
                    pausing.requests shouldHaveSize 1
                }
            }
        }

        describe("a server that names a limit after a request for it was decided on, and before it is sent") {
            // Guards against decisions without a leader, or of one that did not know of the limit.
            it("gets the request only by a decision that was asked for with that knowledge") {
                val server = ScriptedServer { head, _ -> wholeResponse(head) }
                val demands = mutableListOf<DispatchRequest>()

                fun nameLimit(view: ClusterView) {
                    val now = SystemClock.elapsed()
                    if (demands.size == 1) view.serverLimits.record(ServerIncarnation("s0", 1), 1.0, null, sentAt = now, receivedAt = now)
                }
                withForwarder(listOf(server), zones = listOf("z1"), demands = demands, onAdmitted = ::nameLimit) { call, _ ->
                    call("/once/1") shouldEndWith "yes"
                }
                demands shouldHaveSize 2
                server.requests shouldHaveSize 1
            }
        }

        describe("a server that names a limit in its answers") {
            it("is known to be limited until an answer names none") {
                lateinit var view: ClusterView
                val limits = ArrayDeque(listOf("limit: 1.5\r\n", ""))
                val server = ScriptedServer { head, _ -> wholeResponse(head).replaceFirst("\r\n", "\r\n${limits.removeFirst()}") }
                withForwarder(listOf(server), zones = listOf("z1"), onAdmitted = { view = it }) { call, _ ->
                    call("/once/1") shouldEndWith "yes"
                    view.serverLimits.limitOf(ServerIncarnation("s0", 1)) shouldBe 1.5
                    call("/once/1") shouldEndWith "yes"
                    view.serverLimits.limitOf(ServerIncarnation("s0", 1)) shouldBe null
                }
            }
        }

        describe("a request that was admitted before an evacuation began and would be sent after it") {
            fun evacuateFirstZone(view: ClusterView) = view.applyEvacuations(ClusterView.Evacuations(setOf("z1"), 1))

            // Guards against requests that reach a zone although the evacuation is known, since the leader does not know of it yet.
            it("is admitted again, for another zone, and charged again since the leader refunds it") {
                val evacuated = List(2) { ScriptedServer { head, _ -> streamResponse(head, "id: 1\ndata: no\n\n") } }
                val other = ScriptedServer { head, _ -> streamResponse(head, "id: 1\ndata: yes\n\n") }
                val demands = mutableListOf<DispatchRequest>()
                withForwarder(evacuated + other, zones = listOf("z1", "z1", "z2"), demands = demands, onAdmitted = ::evacuateFirstZone) {
                    call,
                    _,
                    ->
                    call("/charged/1") shouldContain "data: yes"
                }
                evacuated.sumOf { it.requests.size } shouldBe 0
                demands shouldHaveSize 2
                demands.last().exclude shouldBe setOf("s0", "s1")
                demands.last().charge shouldBe demands.first().charge
            }
        }

        describe("a stream that runs on a server whose zone is evacuated") {
            it("continues to its end") {
                lateinit var view: ClusterView
                val server =
                    ScriptedServer { head, socket ->
                        val start = streamResponse(head, "id: 1\ndata: a\n\n", end = "")
                        socket.getOutputStream().write(start.toByteArray())
                        view.applyEvacuations(ClusterView.Evacuations(setOf("z1"), 1))
                        Thread.sleep(50)
                        val rest = "id: 2\ndata: b\n\n"
                        "${rest.length.toString(16)}\r\n$rest\r\n0\r\n\r\n"
                    }
                withForwarder(listOf(server), zones = listOf("z1"), onAdmitted = { view = it }) { call, _ ->
                    val answer = call("/stream/1")
                    answer shouldContain "id: 2\ndata: b\n\n"
                    answer shouldEndWith "0\r\n\r\n"
                }
                server.requests shouldHaveSize 1
            }
        }

        describe("a stream that breaks while its zone is evacuated") {
            it("is resumed in another zone") {
                lateinit var view: ClusterView
                val broken =
                    ScriptedServer { head, socket ->
                        socket.getOutputStream().write(streamResponse(head, "id: 1\ndata: a\n\n", end = "").toByteArray())
                        view.applyEvacuations(ClusterView.Evacuations(setOf("z1"), 1))
                        socket.close()
                        null
                    }
                val evacuated = ScriptedServer { head, _ -> streamResponse(head, "id: 2\ndata: no\n\n") }
                val rest = ScriptedServer { head, _ -> streamResponse(head, "id: 2\ndata: b\n\n") }
                withForwarder(listOf(broken, evacuated, rest), zones = listOf("z1", "z1", "z2"), onAdmitted = { view = it }) { call, _ ->
                    call("/resume/1") shouldContain "id: 2\ndata: b\n\n"
                }
                evacuated.requests shouldHaveSize 0
            }
        }

        describe("a request for a service whose servers are all evacuated") {
            val refusal = DispatchDecision.Refuse.evacuated(servers = 2)

            fun retryMillis(answer: String) = answer.substringAfter("retry: ").substringBefore("\r\n").toInt()

            // Guards against clients that return all at once, and against requests that wait for a leader, which would not help them.
            it("is refused at once as not run, with different retry delays around one second") {
                withForwarder(emptyList(), localDecision = refusal) { call, _ ->
                    val startedAt = TimeSource.Monotonic.markNow()
                    val answers = List(5) { call("/patient/1") }
                    (startedAt.elapsedNow() < 400.milliseconds * answers.size) shouldBe true
                    answers.forEach { it shouldStartWith "HTTP/1.1 503" }
                    val delays = answers.map(::retryMillis)
                    delays.forEach { (it in 750..1250) shouldBe true }
                    (delays.toSet().size > 1) shouldBe true
                }
            }

            it("is told to return within a third of the time that remains") {
                withForwarder(emptyList(), localDecision = refusal) { call, _ -> (retryMillis(call("/again/1")) <= 667) shouldBe true }
            }
        }

        describe("a request of an at-most-once route") {
            it("is retried on another server if the first one did not run it") {
                val full = ScriptedServer { _, _ -> "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n" }
                val free = ScriptedServer { head, _ -> wholeResponse(head) }
                withForwarder(listOf(full, free)) { call, _ -> call("/once/1") shouldEndWith "yes" }
            }

            it("is not retried after its connection broke, and is not answered as not run") {
                val breaking =
                    ScriptedServer { _, socket ->
                        socket.close()
                        null
                    }
                val other = ScriptedServer { head, _ -> wholeResponse(head) }
                withForwarder(listOf(breaking, other)) { call, _ ->
                    call("/once/1") shouldStartWith "HTTP/1.1 502"
                    other.requests shouldHaveSize 0
                }
            }

            it("is answered with 503, as not run, if no server can be reached") {
                val gone = ScriptedServer { _, _ -> null }.also { it.close() }
                withForwarder(listOf(gone)) { call, _ -> call("/once/1") shouldStartWith "HTTP/1.1 503" }
            }
        }

        describe("a request of an idempotent route") {
            it("is retried on another server after its connection broke") {
                val breaking =
                    ScriptedServer { _, socket ->
                        socket.close()
                        null
                    }
                val other = ScriptedServer { head, _ -> wholeResponse(head) }
                withForwarder(listOf(breaking, other)) { call, _ -> call("/again/1") shouldEndWith "yes" }
            }

            it("is retried on another server after an answer that belongs to another request") {
                val wrong = ScriptedServer { head, _ -> wholeResponse(head).replace("id: 7", "id: 8") }
                val right = ScriptedServer { head, _ -> wholeResponse(head) }
                withForwarder(listOf(wrong, right)) { call, _ -> call("/again/1") shouldEndWith "yes" }
            }
        }

        describe("an answer after an informational response") {
            it("is relayed") {
                val server = ScriptedServer { head, _ -> "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + wholeResponse(head) }
                withForwarder(listOf(server)) { call, _ -> call("/once/1") shouldEndWith "yes" }
            }
        }

        describe("an answer followed by extra bytes") {
            it("is relayed without them, and its connection is not reused") {
                val server = ScriptedServer { head, _ -> wholeResponse(head, extra = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno") }
                withForwarder(listOf(server)) { call, _ ->
                    repeat(3) { call("/again/1") shouldEndWith "yes" }
                    server.connections shouldHaveSize 3
                }
            }
        }

        describe("a stream") {
            it("that is truncated is aborted, not ended as if it were complete") {
                val cut =
                    ScriptedServer { head, socket ->
                        socket.getOutputStream().write(streamResponse(head, "id: 1\ndata: a\n\nid: 2\nda", end = "").toByteArray())
                        socket.close()
                        null
                    }
                withForwarder(listOf(cut)) { call, _ ->
                    val answer = call("/stream/1")
                    answer shouldContain "id: 1"
                    answer shouldNotContain "id: 2"
                    answer shouldNotContain "\r\n0\r\n"
                }
            }

            it("that is resumable continues on another server after the last complete event") {
                val cut =
                    ScriptedServer { head, socket ->
                        socket.getOutputStream().write(streamResponse(head, "id: 1\ndata: a\n\nid: 2\nda", end = "").toByteArray())
                        socket.close()
                        null
                    }
                val rest = ScriptedServer { head, _ -> streamResponse(head, "id: 2\ndata: b\n\n") }
                withForwarder(listOf(cut, rest)) { call, _ ->
                    val answer = call("/resume/1")
                    answer shouldContain "id: 1\ndata: a\n\n"
                    answer shouldContain "id: 2\ndata: b\n\n"
                    answer shouldEndWith "0\r\n\r\n"
                    rest.requests.single() shouldContain "last: 1"
                }
            }
        }

        describe("a resumable stream whose server fails while the others are busy") {
            it("continues once another server has capacity, without being charged again") {
                val cut =
                    ScriptedServer { head, socket ->
                        socket.getOutputStream().write(streamResponse(head, "id: 1\ndata: a\n\n", end = "").toByteArray())
                        socket.close()
                        null
                    }
                val full = ScriptedServer { _, _ -> "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n" }
                val rest = ScriptedServer { head, _ -> streamResponse(head, "id: 2\ndata: b\n\n") }
                val demands = mutableListOf<DispatchRequest>()
                withForwarder(listOf(cut, full, rest), refusals = 3, demands = demands) { call, _ ->
                    call("/charged/1") shouldContain "id: 2\ndata: b\n\n"
                }
                (demands.first().charge > 0) shouldBe true
                demands.drop(1).map { it.charge }.toSet() shouldBe setOf(0L)
            }
        }

        describe("a request beyond the share of its limit that may be spent without a leader") {
            it("waits for a leader, which knows the whole limit") {
                val free = ScriptedServer { head, _ -> wholeResponse(head) }
                withForwarder(listOf(free), localRefusals = 3) { call, _ -> call("/again/1") shouldEndWith "yes" }
            }

            it("is refused if no leader is found in time, to be retried at another instance without waiting for this one's share") {
                withForwarder(emptyList(), localRefusals = 100) { call, _ ->
                    val answer = call("/again/1")
                    answer shouldStartWith "HTTP/1.1 429"
                    answer shouldContain "retry: 500"
                }
            }
        }

        describe("a request under which three servers have crashed") {
            it("is refused at once, as not run and with no time to come back") {
                val crashing = List(3) { crashingServer() }
                val sound = ScriptedServer { head, _ -> wholeResponse(head) }
                withForwarder(crashing + sound, retryReserve = 20.0) { call, _ ->
                    call("/again/1") shouldStartWith "HTTP/1.1 502"
                    call("/again/1") shouldStartWith "HTTP/1.1 502"
                    val answer = call("/again/1")
                    answer shouldStartWith "HTTP/1.1 503"
                    answer shouldNotContain "retry:"
                    sound.requests shouldHaveSize 0
                }
            }
        }

        describe("a request that a server rejected, and under which three servers have crashed") {
            it("is refused, since a rejection is no proof that it can be served") {
                val crashing = List(2) { crashingServer() }
                val rejecting = crashingServer(before = { head -> wholeResponse(head).replace("200 OK", "400 Bad Request") })
                val sound = ScriptedServer { head, _ -> wholeResponse(head) }
                withForwarder(crashing + rejecting + sound, retryReserve = 20.0) { call, _ ->
                    call("/again/1") shouldStartWith "HTTP/1.1 502"
                    call("/again/1") shouldStartWith "HTTP/1.1 400"
                    call("/again/1") shouldStartWith "HTTP/1.1 502"
                    call("/again/1") shouldStartWith "HTTP/1.1 503"
                    sound.requests shouldHaveSize 0
                }
            }
        }

        describe("a client that disconnects") {
            it("causes the connection to the server to be closed") {
                val silent = ScriptedServer { _, _ -> null }
                withForwarder(listOf(silent)) { _, port ->
                    Socket("127.0.0.1", port).use { socket ->
                        socket.getOutputStream().write("GET /stream/1 HTTP/1.1\r\nHost: h\r\nid: 7\r\n\r\n".toByteArray())
                        while (silent.requests.isEmpty()) delay(5)
                    }
                    repeat(100) { if (silent.closedByPeer.isEmpty()) delay(5) }
                    silent.closedByPeer shouldHaveSize 1
                }
            }
        }

        describe("a path without a route") {
            it("is answered with 404") { withForwarder(emptyList()) { call, _ -> call("/none/1") shouldStartWith "HTTP/1.1 404" } }
        }
    })
