package anvilslip.gateway

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.channels.SocketChannel
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * A server that answers each request with the exact bytes that [script] returns for its head, or not at all if that is null, and
 * records the connections that the peer closes.
 */
internal class ScriptedServer(
    /** If false, connections to this server are neither accepted nor refused. */
    acceptsConnections: Boolean = true,
    private val script: (head: String, socket: Socket) -> String?,
) : AutoCloseable {
    private val socket = ServerSocket(0, if (acceptsConnections) BACKLOG else 1, InetAddress.getByName("127.0.0.1"))

    /** Fill the queue of connections to accept, so that the system answers no further one. */
    private val queued = if (acceptsConnections) emptyList() else List(QUEUED_CONNECTIONS) { connectOnce() }

    /** Heads of the received requests. */
    val requests = CopyOnWriteArrayList<String>()

    /** Accepted connections. */
    val connections = CopyOnWriteArrayList<Socket>()

    /** Connections that the peer has closed. */
    val closedByPeer = CopyOnWriteArrayList<Socket>()

    val address: String get() = "127.0.0.1:${socket.localPort}"

    private val acceptor = if (acceptsConnections) thread(isDaemon = true) { acceptAll() } else null

    private fun connectOnce(): SocketChannel =
        SocketChannel.open().apply {
            configureBlocking(false)
            connect(socket.localSocketAddress)
        }

    private fun acceptAll() {
        while (!socket.isClosed) {
            val accepted = runCatching { socket.accept() }.getOrNull() ?: break
            connections += accepted
            thread(isDaemon = true) { serve(accepted) }
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
        // The port takes connections until the call that accepts them has returned.
        acceptor?.join()
        connections.forEach { it.close() }
        queued.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 50

        /** More than a queue of length 1 holds. */
        const val QUEUED_CONNECTIONS = 4
    }
}
