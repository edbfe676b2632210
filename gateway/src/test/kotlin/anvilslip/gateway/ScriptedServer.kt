package anvilslip.gateway

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * A server that answers each request with the exact bytes that [script] returns for its head, or not at all if that is null, and
 * records the connections that the peer closes.
 */
internal class ScriptedServer(
    private val script: (head: String, socket: Socket) -> String?,
) : AutoCloseable {
    private val socket = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))

    /** Heads of the received requests. */
    val requests = CopyOnWriteArrayList<String>()

    /** Accepted connections. */
    val connections = CopyOnWriteArrayList<Socket>()

    /** Connections that the peer has closed. */
    val closedByPeer = CopyOnWriteArrayList<Socket>()

    val address: String get() = "127.0.0.1:${socket.localPort}"

    init {
        thread(isDaemon = true) {
            while (!socket.isClosed) {
                val accepted = runCatching { socket.accept() }.getOrNull() ?: break
                connections += accepted
                thread(isDaemon = true) { serve(accepted) }
            }
        }
    }

    private fun serve(connection: Socket) {
        val input = connection.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val next = runCatching { input.read() }.getOrDefault(-1)
                if (next < 0) {
                    closedByPeer += connection
                    return
                }
                head.append(next.toChar())
            }
            requests += head.toString()
            val answer = script(head.toString(), connection) ?: continue
            connection.getOutputStream().write(answer.toByteArray(Charsets.ISO_8859_1))
            connection.getOutputStream().flush()
        }
    }

    override fun close() {
        socket.close()
        connections.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 50
    }
}
