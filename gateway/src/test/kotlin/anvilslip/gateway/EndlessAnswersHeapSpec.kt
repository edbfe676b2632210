package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

private const val MEBIBYTE = 1024 * 1024

/**
 * Guards against a heap that is exhausted by the answers of servers, each of which is within its own limit: one server sends many answers
 * that do not end, and the process ends with all that runs on the other servers.
 */
class EndlessAnswersHeapSpec :
    DescribeSpec({
        val endless = ByteArray(15 * MEBIBYTE) { 'x'.code.toByte() }
        val sentBytes = AtomicLong()

        fun endlessOrSound() =
            ScriptedServer { head, socket ->
                val id = head.lineSequence().first { it.startsWith("id: ") }.trim()
                if ("/endless" in head) {
                    try {
                        socket.getOutputStream().write("HTTP/1.1 200 OK\r\n$id\r\n\r\n".toByteArray())
                        for (start in endless.indices step MEBIBYTE) {
                            socket.getOutputStream().write(endless, start, MEBIBYTE)
                            sentBytes.addAndGet(MEBIBYTE.toLong())
                        }
                    } catch (_: IOException) {
                        // The answer was given up.
                    }
                    null
                } else {
                    "HTTP/1.1 200 OK\r\n$id\r\nContent-Length: 3\r\n\r\nyes"
                }
            }

        fun usedHeap(): Long {
            repeat(2) { System.gc() }
            return Runtime.getRuntime().run { totalMemory() - freeMemory() }
        }

        describe("many answers without end at the same time") {
            it("take no more of the heap than the answers may in sum, and a sound answer passes") {
                val before = usedHeap()
                withForwarder(listOf(endlessOrSound())) { call, _ ->
                    coroutineScope {
                        List(ANSWERS) { async(Dispatchers.IO) { runCatching { call("/patient/endless") } } }
                        delay(3.seconds)
                        val taken = usedHeap() - before
                        println("heap for $ANSWERS answers without end: $taken bytes, of ${sentBytes.get()} sent")
                        sentBytes.get() shouldBeGreaterThan MAX_HEAP_BYTES
                        taken shouldBeLessThan MAX_HEAP_BYTES
                        call("/once/sound").substringAfter("\r\n\r\n") shouldBe "yes"
                    }
                }
            }
        }

        describe("a request whose answer is given up") {
            it("is answered at once, without the statement that it has not run") {
                withForwarder(listOf(endlessOrSound())) { call, _ ->
                    coroutineScope {
                        val calls = List(ANSWERS) { async(Dispatchers.IO) { runCatching { call("/once/endless") } } }
                        delay(1.seconds)
                        val answers = calls.filter { it.isCompleted }.map { it.await().getOrThrow() }
                        answers.size shouldBeGreaterThanOrEqual ANSWERS - 2
                        answers.forEach {
                            it shouldStartWith "HTTP/1.1 502"
                            it shouldContain "answer_not_kept"
                        }
                    }
                }
            }
        }
    }) {
    private companion object {
        const val ANSWERS = 12

        /** What answers may take in sum, and as much again for all else. */
        const val MAX_HEAP_BYTES = 64L * MEBIBYTE
    }
}
