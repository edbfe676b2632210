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
        /** Calls [action] with a client of an instance that gives [answers] in turn, and with the bodies it was sent. */
        fun served(
            vararg answers: Pair<Int, String>,
            action: (OperatorClient, List<String>) -> Unit,
        ) {
            val bodies = ArrayList<String>()
            val left = ArrayDeque(answers.toList())
            val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
            server.createContext("/") { exchange ->
                bodies += exchange.requestBody.readAllBytes().decodeToString()
                val (status, text) = left.removeFirst()
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

        describe("a change whose outcome is not known") {
            it("is sent again under the same request ID until it is") {
                served(503 to "{}", 200 to """{"revision":7}""") { client, bodies ->
                    client.change("r-1", null, change).getOrNull()?.revision shouldBe 7
                    bodies shouldHaveSize 2
                    bodies.toSet() shouldHaveSize 1
                    bodies.first() shouldContain "r-1"
                }
            }
        }

        describe("a change that is refused") {
            it("is not sent again, and says why") {
                served(409 to """{"error":{"code":"conflict","message":"another came first"}}""") { client, bodies ->
                    val error = client.change("r-1", 3, change).leftOrNull().shouldBeInstanceOf<CommandError.Refused>()
                    error.message shouldBe "conflict: another came first"
                    error.exitCode shouldBe 1
                    bodies shouldHaveSize 1
                }
            }
        }

        describe("an instance that cannot be reached") {
            it("is told apart from one that refuses") {
                val error = OperatorClient("127.0.0.1:1", null).status().leftOrNull().shouldBeInstanceOf<CommandError.Unavailable>()
                error.exitCode shouldBe 3
            }
        }

        describe("a table") {
            it("has columns as wide as they need to be") {
                val table = Table("name", "n").apply { row("long name", 1) }
                "$table" shouldBe "name       n\nlong name  1"
            }
        }
    })
