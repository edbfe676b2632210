package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import java.io.IOException

/** Guards against requests that are lost one after the other at a server whose answers do not end, while others have room. */
class AvoidedServerSpec :
    DescribeSpec({
        fun idIn(head: String) = head.lineSequence().first { it.startsWith("id: ") }.trim()

        val chunk = ByteArray(65_536) { 'x'.code.toByte() }

        fun endless() =
            ScriptedServer { head, socket ->
                try {
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\n${idIn(head)}\r\n\r\n".toByteArray())
                    while (true) socket.getOutputStream().write(chunk)
                } catch (_: IOException) {
                    // The answer was given up.
                }
                null
            }

        fun sound() = ScriptedServer { head, _ -> "HTTP/1.1 200 OK\r\n${idIn(head)}\r\nContent-Length: 3\r\n\r\nyes" }

        describe("a request after one that got an answer without end") {
            it("goes to another server") {
                val servers = listOf(endless(), sound())
                withForwarder(servers, zones = listOf("z", "z")) { call, _ ->
                    call("/once/1") shouldStartWith "HTTP/1.1 502"
                    repeat(3) { call("/once/2") shouldEndWith "yes" }
                    servers[0].requests shouldHaveSize 1
                }
            }

            it("goes to the same server if no other is known") {
                val servers = listOf(endless())
                withForwarder(servers, zones = listOf("z")) { call, _ ->
                    repeat(2) { call("/once/1") shouldStartWith "HTTP/1.1 502" }
                    servers[0].requests shouldHaveSize 2
                }
            }

            it("goes to the same server if the others are refused") {
                val servers = listOf(endless(), sound())
                withForwarder(servers, zones = listOf("z", "z"), refusals = 1) { call, _ ->
                    call("/once/1") shouldStartWith "HTTP/1.1 502"
                    servers[1].requests.shouldBeEmpty()
                    call("/once/2") shouldStartWith "HTTP/1.1 502"
                    servers[0].requests shouldHaveSize 2
                }
            }
        }

        describe("a request that may be repeated and gets an answer without end") {
            it("is answered by another server") {
                val servers = listOf(endless(), sound())
                withForwarder(servers, zones = listOf("z", "z")) { call, _ -> call("/again/1") shouldEndWith "yes" }
                servers.map { it.requests.size } shouldBe listOf(1, 1)
            }
        }
    })
