package anvilslip.gateway

import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.delay
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Guards against requests that have no final answer half a second after the timeout of their route, whatever they wait for. */
class FinalAnswerSpec :
    DescribeSpec({
        class Ending(
            val text: String,
            val at: TimeMark,
        )

        /** Records when the forwarder began to handle each request; a busy machine may accept a connection late. */
        class Demands : ArrayList<DispatchRequest>() {
            val handledAt = CopyOnWriteArrayList<TimeMark>()

            override fun add(element: DispatchRequest): Boolean {
                handledAt += TimeSource.Monotonic.markNow()
                return super.add(element)
            }
        }

        /** Sends [parts] with a pause before each but the first, and reads from [readFrom] on until the connection ends. */
        fun exchange(
            port: Int,
            parts: List<String>,
            pause: Duration = Duration.ZERO,
            readFrom: Duration = Duration.ZERO,
        ): Ending =
            Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = 8_000
                val sender =
                    thread {
                        parts.forEachIndexed { i, part ->
                            if (i > 0) Thread.sleep(pause.inWholeMilliseconds)
                            socket.getOutputStream().write(part.toByteArray())
                        }
                    }
                Thread.sleep(readFrom.inWholeMilliseconds)
                val text = StringBuilder()
                try {
                    val input = socket.getInputStream()
                    val buffer = ByteArray(65_536)
                    generateSequence { input.read(buffer) }.takeWhile { it >= 0 }.forEach { text.append(buffer.decodeToString(0, it)) }
                } catch (_: IOException) {
                    // A reset ends the answer as well.
                    text.append("(reset)")
                }
                Ending(text.toString(), TimeSource.Monotonic.markNow()).also { sender.join() }
            }

        fun get(path: String) = listOf("GET $path HTTP/1.1\r\nHost: h\r\nid: 7\r\nkey: k\r\nConnection: close\r\n\r\n")

        fun post(
            path: String,
            length: Int,
        ) = "POST $path HTTP/1.1\r\nHost: h\r\nid: 7\r\nkey: k\r\nConnection: close\r\nContent-Length: $length\r\n\r\n"

        fun Ending.after(mark: TimeMark): Duration = mark.elapsedNow() - at.elapsedNow()

        fun Ending.shouldBeInTime(
            demands: Demands,
            timeout: Duration = ROUTE_TIMEOUT,
        ) = withClue(text.take(200)) { after(demands.handledAt.first()) shouldBeLessThan timeout + MAX_DELAY }

        val streamHead = "HTTP/1.1 200 OK\r\nid: 7\r\nContent-Type: text/event-stream\r\n\r\n"

        fun silent() = ScriptedServer { _, _ -> null }

        describe("a request at the timeout of its route") {
            for (path in listOf("once", "again", "stream", "resume")) {
                it("is answered in time on the route '$path' if the server stays silent") {
                    val demands = Demands()
                    withForwarder(listOf(silent(), silent(), silent()), demands = demands) { _, port ->
                        val ending = exchange(port, get("/$path/1"))
                        ending.shouldBeInTime(demands)
                        ending.text shouldStartWith "HTTP/1.1 504"
                    }
                }
            }

            for (path in listOf("stream", "resume")) {
                it("ends in time on the route '$path' if the stream stops after its first event") {
                    val demands = Demands()
                    val stopping = { ScriptedServer { _, _ -> streamHead + "id: 1\ndata: a\n\n" } }
                    withForwarder(listOf(stopping(), stopping(), stopping()), demands = demands) { _, port ->
                        exchange(port, get("/$path/1")).shouldBeInTime(demands)
                    }
                }
            }

            it("ends in time if a resumable stream breaks again and again") {
                val demands = Demands()
                val breaking =
                    ScriptedServer { _, socket ->
                        val head = streamHead.replace("id: 7", "id: 7\r\nTransfer-Encoding: chunked")
                        socket.getOutputStream().write((head + "11\r\nid: 1\ndata: abc\n\n\r\n").toByteArray())
                        Thread.sleep(700)
                        socket.close()
                        null
                    }
                withForwarder(
                    List(4) {
                        breaking
                    },
                    retryReserve = 9.0,
                    demands = demands,
                ) { _, port -> exchange(port, get("/charged/1")).shouldBeInTime(demands) }
            }

            it("ends in time if the client reads nothing of a stream without end") {
                val demands = Demands()
                val endless =
                    ScriptedServer { _, socket ->
                        try {
                            socket.getOutputStream().write(streamHead.toByteArray())
                            while (true) socket.getOutputStream().write("data: ${"x".repeat(10_000)}\n\n".toByteArray())
                        } catch (_: IOException) {
                            // The forwarder has closed the connection.
                        }
                        null
                    }
                withForwarder(
                    listOf(endless),
                    demands = demands,
                ) { _, port -> exchange(port, get("/stream/1"), readFrom = 2.2.seconds).shouldBeInTime(demands) }
            }

            it("ends in time if the body of the answer never ends") {
                val demands = Demands()
                val endless = ScriptedServer { _, _ -> "HTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: 100\r\n\r\nx" }
                withForwarder(listOf(endless), demands = demands) { _, port -> exchange(port, get("/once/1")).shouldBeInTime(demands) }
            }

            it("is answered in time while it waits at the leader, or for a leader that does not answer") {
                val demands = Demands()
                withForwarder(listOf(silent()), admissionTime = 9.seconds, demands = demands) { _, port ->
                    val ending = exchange(port, get("/once/1"))
                    ending.shouldBeInTime(demands)
                    ending.text shouldStartWith "HTTP/1.1 503"
                }
            }

            it("is answered in time while it is refused without a leader") {
                val demands = Demands()
                val refusal = DispatchDecision.Refuse(DispatchRefusal.LOADING, 400)
                withForwarder(
                    listOf(silent()),
                    localDecision = refusal,
                    demands = demands,
                ) { _, port -> exchange(port, get("/once/1")).shouldBeInTime(demands) }
            }

            it("is answered in time while it is held, and while a connection is opened") {
                val demands = Demands()
                val unreachable = ScriptedServer(acceptsConnections = false) { _, _ -> null }
                withForwarder(
                    listOf(silent()),
                    holdMillis = 9_000,
                    demands = demands,
                ) { _, port -> exchange(port, get("/once/1")).shouldBeInTime(demands) }
                val connecting = Demands()
                withForwarder(listOf(unreachable), connectTimeout = 9.seconds, demands = connecting) { _, port ->
                    exchange(port, get("/once/1")).shouldBeInTime(connecting)
                }
            }

            // Guards against a timeout that starts only when the last byte of the body has arrived.
            it("is answered in time if its body took a while to arrive") {
                val demands = Demands()
                withForwarder(listOf(silent()), demands = demands) { _, port ->
                    val parts = listOf(post("/once/1", 4), "a", "b", "c", "d")
                    val ending = exchange(port, parts, pause = 300.milliseconds)
                    ending.shouldBeInTime(demands, ROUTE_TIMEOUT - 900.milliseconds)
                    ending.text shouldStartWith "HTTP/1.1 504"
                }
            }

            it("passes on no more time than is left after its body has arrived") {
                val demands = Demands()
                val server = ScriptedServer { _, _ -> "HTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: 2\r\n\r\nok" }
                withForwarder(listOf(server), demands = demands) { _, port ->
                    exchange(port, listOf(post("/once/1", 3), "a", "b", "c"), pause = 300.milliseconds).text shouldStartWith "HTTP/1.1 200"
                }
                (ROUTE_TIMEOUT.inWholeMilliseconds - demands.single().remainingMillis).toInt() shouldBeGreaterThan 800
            }
        }

        describe("many requests at once at the timeout of their route") {
            it("are answered in time") {
                val demands = Demands()
                withForwarder(List(3) { silent() }, demands = demands) { _, port ->
                    val endings = CopyOnWriteArrayList<Ending>()
                    val threads = List(60) { thread { endings += exchange(port, get("/once/1")) } }
                    while (threads.any { it.isAlive }) delay(20)
                    val first = demands.handledAt.first()
                    val spread = demands.handledAt.maxOf { first.elapsedNow() - it.elapsedNow() }
                    endings.count { it.after(first) < spread + ROUTE_TIMEOUT + MAX_DELAY } shouldBe 60
                }
            }
        }
    }) {
    private companion object {
        /** The timeout of the routes that [withForwarder] configures. */
        val ROUTE_TIMEOUT = 2.seconds
        val MAX_DELAY = 500.milliseconds
    }
}
