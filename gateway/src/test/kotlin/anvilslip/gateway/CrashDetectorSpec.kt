package anvilslip.gateway

import anvilslip.entry.http.HttpClient
import anvilslip.kernel.SystemClock
import anvilslip.policy.DispatchDecision
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.channels.SocketChannel
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CrashDetectorSpec :
    DescribeSpec({
        val client = HttpClient(connectTimeout = 5.seconds, threads = 1)
        val impatientClient = HttpClient(connectTimeout = 300.milliseconds, threads = 1)
        afterSpec {
            client.stop()
            impatientClient.stop()
        }

        fun unusedAddress() = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { "127.0.0.1:${it.localPort}" }

        suspend fun crashesFound(
            address: String,
            phase: ServerPhase = ServerPhase.READY,
            checks: Int = 1,
            checkedBy: HttpClient = client,
            wait: Duration = 500.milliseconds,
            others: List<String> = emptyList(),
        ): List<String> {
            val clusterView = ClusterView({ ServingConfiguration(1).right() }, SystemClock, emptySet(), 1.seconds)
            clusterView.recordReport(ServerReport("s", "app", address, "z", phase, startedAtMillis = 7), direct = true)
            others.forEachIndexed { at, other ->
                clusterView.recordReport(ServerReport("o$at", "app", other, "z", ServerPhase.READY, startedAtMillis = 7), direct = true)
            }
            val detector = CrashDetector(checkedBy, clusterView)
            val found = CopyOnWriteArrayList<String>()
            coroutineScope {
                List(checks) { async { detector.checkAfterBreak(DispatchDecision.Send("s", address)) { found += it } } }.awaitAll()
            }
            // The check goes on if it takes longer than a caller may wait.
            withTimeoutOrNull(wait) { while (found.size < checks) delay(10) }
            detector.stop()
            return found
        }

        describe("an exchange that broke") {
            it("is a crash if the server refuses connections afterwards") {
                crashesFound(unusedAddress(), wait = 6.seconds) shouldContainExactly listOf("s@7")
            }

            it("is a crash for each of the exchanges that broke with it") {
                crashesFound(unusedAddress(), checks = 3, wait = 6.seconds) shouldContainExactly listOf("s@7", "s@7", "s@7")
            }

            it("is a crash if another server accepts connections") {
                ScriptedServer { _, _ -> null }.use {
                    crashesFound(unusedAddress(), others = listOf(it.address)) shouldContainExactly
                        listOf("s@7")
                }
            }

            it("is a crash if most other servers have crashed as well, as they do when a request that crashes them is repeated") {
                ScriptedServer { _, _ -> null }.use { sound ->
                    val others = List(4) { unusedAddress() } + sound.address
                    crashesFound(unusedAddress(), others = others, wait = 6.seconds) shouldContainExactly listOf("s@7")
                }
            }

            it("is a crash if there are too few other servers to compare it with") {
                crashesFound(unusedAddress(), others = List(2) { unusedAddress() }, wait = 6.seconds) shouldContainExactly listOf("s@7")
            }

            it("is no crash if the other servers refuse connections as well, as they do to an instance that is cut off from all") {
                crashesFound(unusedAddress(), others = List(3) { unusedAddress() }).shouldBeEmpty()
            }

            it("is no crash if the server still accepts connections") {
                ScriptedServer { _, _ -> null }.use { crashesFound(it.address).shouldBeEmpty() }
            }

            it("is no crash if the server was about to leave") {
                crashesFound(unusedAddress(), ServerPhase.DRAINING).shouldBeEmpty()
            }

            it("is no crash if the server cannot be reached at all") {
                // The accept queue of a listener that never accepts is full, so connecting to it hangs.
                ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { full ->
                    val fillers = List(8) { SocketChannel.open() }
                    fillers.forEach {
                        it.configureBlocking(false)
                        it.connect(full.localSocketAddress)
                    }
                    crashesFound("127.0.0.1:${full.localPort}", checkedBy = impatientClient).shouldBeEmpty()
                    fillers.forEach { it.close() }
                }
            }
        }
    })
