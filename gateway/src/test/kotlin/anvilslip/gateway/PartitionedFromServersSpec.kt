package anvilslip.gateway

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpClientException
import anvilslip.entry.http.HttpClientRequest
import anvilslip.entry.http.HttpServer
import anvilslip.kernel.SystemClock
import anvilslip.settings.Address
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests that fail at an entry instance whose links to the backend servers are cut, while other entry instances reach
 * them. The servers that the instance knows accept no connections from it; the relay reaches [ScriptedServer]s at their addresses.
 */
class PartitionedFromServersSpec :
    DescribeSpec({
        fun ok(body: String = "id: 1\ndata: seat 1\n\n") = "HTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: ${body.length}\r\n\r\n$body"

        /**
         * Runs [action] with an instance that is cut off from three servers: its connections to them hang, or are refused. [relayed] is what
         * the relay reaches at their addresses.
         */
        suspend fun withCutOff(
            relayed: ScriptedServer,
            areRefused: Boolean = false,
            brokenRelays: Int = 0,
            token: String = "t",
            action: suspend (call: (path: String) -> String) -> Unit,
        ) {
            val servers = List(3) { ScriptedServer(acceptsConnections = false) { _, _ -> null } }
            val client = HttpClient(threads = 1)
            val toServer = ServerTransport { _, request, timeout -> client.open(relayed.address, request, timeout) }
            val others = ServerReachability(SystemClock) { servers.size }
            val port = ServerSocket(0).use { it.localPort }
            val handler = RelayHandler(toServer, "t", others, { address -> servers.any { it.address == address } })
            val relay = HttpServer("relay", Address("127.0.0.1", port), handler, threads = 1).also { it.start() }
            val broken = List(brokenRelays) { "127.0.0.1:${ServerSocket(0).use { socket -> socket.localPort }}" }
            val own = ServerReachability(SystemClock) { servers.size }
            val refusing =
                ServerTransport { address, _, _ ->
                    own.recordConnect(address, isConnected = false)
                    throw HttpClientException.NotSent("refused")
                }
            val selection = RelaySelection({ broken + "127.0.0.1:$port" }, SystemClock)
            try {
                withForwarder(
                    servers,
                    onConnect = own::recordConnect,
                    transport = {
                        RelayingTransport(
                            if (areRefused) refusing else it,
                            ServerTransport(client::open),
                            own,
                            selection,
                            token,
                        )
                    },
                ) { call, _ ->
                    // What fails until the instance has noticed that it is cut off.
                    repeat(2) { call("/again/0") }
                    action(call)
                }
            } finally {
                relay.stop()
                client.stop()
                relayed.close()
            }
        }

        for (areRefused in listOf(false, true)) {
            describe("an instance whose connections to all servers ${if (areRefused) "are refused" else "hang"}") {
                it("serves requests of every kind at the first attempt") {
                    withCutOff(ScriptedServer { _, _ -> ok() }, areRefused) { call ->
                        for (path in listOf("/once/1", "/again/1", "/stream/1", "/resume/1")) {
                            repeat(5) {
                                val answer = call(path)
                                answer shouldStartWith "HTTP/1.1 200"
                                answer shouldContain "seat 1"
                            }
                        }
                    }
                }
            }
        }

        describe("a request that another instance passes on") {
            it("reaches the server as its client sent it, without headers of the relay") {
                val server = ScriptedServer { _, _ -> ok() }
                withCutOff(server) { call -> call("/again/1?seat=2") shouldStartWith "HTTP/1.1 200" }
                server.requests.last() shouldStartWith "GET /again/1?seat=2 HTTP/1.1"
                server.requests.last().lowercase() shouldNotContain "relay"
                server.requests.last().lowercase() shouldContain "id: 7"
            }

            it("gets the server's failure unchanged") {
                val failing = ScriptedServer { _, _ -> "HTTP/1.1 500 Failed\r\nid: 7\r\nContent-Length: 7\r\n\r\nno seat" }
                withCutOff(failing) { call ->
                    val answer = call("/once/1")
                    answer shouldStartWith "HTTP/1.1 500"
                    answer shouldEndWith "no seat"
                }
            }

            it("has run if its server answers with the header by which relays say that it has not") {
                val misleading =
                    ScriptedServer {
                        _,
                        _,
                        ->
                        "HTTP/1.1 500 Failed\r\nid: 7\r\nanvilslip-relay-not-sent: x\r\nContent-Length: 4\r\n\r\nseat"
                    }
                withCutOff(misleading) { call -> call("/once/1") shouldStartWith "HTTP/1.1 500" }
                misleading.requests.filter { "/once/" in it } shouldHaveSize 1
            }

            it("does not get a truncated answer as if it were complete") {
                val breaking =
                    ScriptedServer { head, socket ->
                        if ("/stream/" !in head) return@ScriptedServer ok()
                        val part = "HTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: 90\r\n\r\nid: 1\ndata: a\n\n"
                        socket.getOutputStream().write(part.toByteArray())
                        socket.close()
                        null
                    }
                withCutOff(breaking) { call -> call("/stream/1") shouldNotContain "\r\n0\r\n\r\n" }
            }

            it("is not sent again if it may have run once and may not run twice") {
                val closing =
                    ScriptedServer { head, socket ->
                        if ("/once/" !in head) return@ScriptedServer ok()
                        socket.close()
                        null
                    }
                withCutOff(closing) { call -> call("/once/1") shouldStartWith "HTTP/1.1 502" }
                closing.requests.filter { "/once/" in it } shouldHaveSize 1
            }

            it("is passed on by the next instance if one does not answer") {
                withCutOff(ScriptedServer { _, _ -> ok() }, brokenRelays = 2) { call ->
                    repeat(5) { call("/once/1") shouldStartWith "HTTP/1.1 200" }
                }
            }

            it("is refused as not run if its sender does not know the secret") {
                val server = ScriptedServer { _, _ -> ok() }
                withCutOff(server, token = "other") { call -> call("/once/1") shouldStartWith "HTTP/1.1 503" }
                server.requests shouldHaveSize 0
            }
        }

        describe("an instance that reaches the servers again") {
            it("sends requests to them itself") {
                val own = ServerReachability(SystemClock) { 3 }
                repeat(3) { own.recordConnect("s$it:80", isConnected = false) }
                own.isIsolated shouldBe true
                own.recordConnect("s1:80", isConnected = true)
                own.isIsolated shouldBe false
                val server = ScriptedServer { _, _ -> ok() }
                val relays = ServerTransport { _, _, _ -> error("not needed") }
                val client = HttpClient(threads = 1)
                val transport =
                    RelayingTransport(ServerTransport(client::open), relays, own, RelaySelection({ listOf("r:1") }, SystemClock), "t")
                transport.open(server.address, HttpClientRequest("GET", "/1"), 1.seconds).use { it.status shouldBe 200 }
                client.stop()
                server.requests.size shouldBeGreaterThan 0
                server.close()
            }
        }
    })
