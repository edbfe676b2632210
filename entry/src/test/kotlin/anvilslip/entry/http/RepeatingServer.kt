package anvilslip.entry.http

import java.io.BufferedReader
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * A server that sends a second copy of each answer where the answer to the next request on the connection is due, before that one. Its
 * answers bear no ID of their requests.
 *
 * @param pauseMillis pause between the two halves of the second copy, or null to send it in one write
 * @param answer returns the complete answer to the request with this path and body
 */
internal class RepeatingServer(
    private val pauseMillis: Long?,
    private val answer: (path: String, body: String) -> String,
) : AutoCloseable {
    private val socket = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))

    /** Accepted connections. */
    val connections = CopyOnWriteArrayList<Socket>()

    val address: String get() = "127.0.0.1:${socket.localPort}"

    init {
        thread(isDaemon = true) {
            while (!socket.isClosed) {
                val accepted = runCatching { socket.accept() }.getOrNull() ?: break
                connections += accepted
                thread(isDaemon = true) { runCatching { serve(accepted) } }
            }
        }
    }

    private fun serve(connection: Socket) {
        connection.tcpNoDelay = true
        val input = connection.getInputStream().bufferedReader()
        val output = connection.getOutputStream()
        var previous: String? = null
        while (true) {
            val requestLine = input.readLine() ?: return
            val body = readBody(input)
            previous?.let { sendCopy(output, it) }
            previous = answer(requestLine.split(' ')[1], body).also { output.write(it.toByteArray()) }
        }
    }

    private fun readBody(input: BufferedReader): String {
        val headers = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()
        val lengthHeader = headers.firstOrNull { it.startsWith("content-length:", ignoreCase = true) }
        val length = lengthHeader?.substringAfter(':')?.trim()?.toInt() ?: 0
        val body = CharArray(length)
        var read = 0
        while (read < length) read += input.read(body, read, length - read).also { check(it > 0) }
        return body.concatToString()
    }

    private fun sendCopy(
        output: OutputStream,
        copy: String,
    ) {
        if (pauseMillis == null) return output.write(copy.toByteArray())
        val half = copy.length - copy.substringAfter("\r\n\r\n").length / 2
        output.write(copy.take(half).toByteArray())
        Thread.sleep(pauseMillis)
        output.write(copy.drop(half).toByteArray())
    }

    override fun close() {
        socket.close()
        connections.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 50
    }
}
