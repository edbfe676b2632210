package anvilslip.cli

import anvilslip.state.Change
import com.sun.net.httpserver.HttpServer
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.InetSocketAddress

class OperatorClientSpec :
    DescribeSpec({
        /**
         * Starts an HTTP server that returns [responses] in order. Calls [action] with a client of this server and the list of received
         * request bodies.
         */
        fun withOperatorServer(
            vararg responses: Pair<Int, String>,
            action: (OperatorClient, List<String>) -> Unit,
        ) {
            val bodies = ArrayList<String>()
            val remainingResponses = ArrayDeque(responses.toList())
            val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
            server.createContext("/") { exchange ->
                bodies += exchange.requestBody.readAllBytes().decodeToString()
                val (status, text) = remainingResponses.removeFirst()
                exchange.sendResponseHeaders(status, text.length.toLong())
                exchange.responseBody.use { it.write(text.toByteArray()) }
            }
            server.start()
            try {
                action(OperatorClient("127.0.0.1:${server.address.port}", "token"), bodies)
            } finally {
                server.stop(0)
            }
        }

        val change = Change.RemoveWorkspace("w")

        describe("a change with an unknown outcome") {
            it("is retried with the same request ID until the outcome is known") {
                withOperatorServer(503 to "{}", 200 to """{"revision":7}""") { client, bodies ->
                    client.submitChange("r-1", null, change).getOrNull()?.revision shouldBe 7
                    bodies shouldHaveSize 2
                    bodies.toSet() shouldHaveSize 1
                    bodies.first() shouldContain "r-1"
                }
            }
        }

        describe("a rejected change") {
            it("is not retried and reports the error code and message") {
                withOperatorServer(409 to """{"error":{"code":"conflict","message":"revision has changed"}}""") { client, bodies ->
                    val error = client.submitChange("r-1", 3, change).leftOrNull().shouldBeInstanceOf<CommandError.Rejected>()
                    error.message shouldBe "conflict: revision has changed"
                    error.exitCode shouldBe 1
                    bodies shouldHaveSize 1
                }
            }
        }

        describe("an unreachable instance") {
            it("is reported as unavailable, not as a rejection") {
                val error = OperatorClient("127.0.0.1:1", null).status().leftOrNull().shouldBeInstanceOf<CommandError.Unavailable>()
                error.exitCode shouldBe 3
            }
        }

        describe("a table") {
            it("pads each column to its widest cell") {
                val table = Table("name", "n").apply { row("long name", 1) }
                "$table" shouldBe "name       n\nlong name  1"
            }
        }
    })
