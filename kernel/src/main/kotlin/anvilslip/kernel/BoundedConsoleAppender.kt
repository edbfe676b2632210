package anvilslip.kernel

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.UnsynchronizedAppenderBase
import ch.qos.logback.core.encoder.Encoder
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes log lines to the console from a thread of its own, many with one write. A caller never waits: lines that find the queue
 * full are dropped, and a line with their count follows.
 */
public class BoundedConsoleAppender : UnsynchronizedAppenderBase<ILoggingEvent>() {
    private val queue = ArrayBlockingQueue<ByteArray>(QUEUE_LENGTH)
    private val dropped = AtomicLong()
    private var writer: Thread? = null

    @Volatile
    private var isStopping = false

    /** Turns events into lines; set by the configuration. */
    public var encoder: Encoder<ILoggingEvent>? = null

    /** `System.out` or `System.err`; set by the configuration. */
    public var target: String = "System.err"

    override fun start() {
        val output = if (target == "System.out") System.out else System.err
        writer = Thread({ writeAll(output) }, "log-writer").apply { isDaemon = true }.also { it.start() }
        super.start()
    }

    override fun stop() {
        super.stop()
        isStopping = true
        // Wakes the writer; when the queue is full it is awake.
        queue.offer(ByteArray(0))
        writer?.join(STOP_MILLIS)
    }

    override fun append(event: ILoggingEvent) {
        val line = encoder?.encode(event) ?: return
        if (!queue.offer(line)) dropped.incrementAndGet()
    }

    private fun writeAll(output: OutputStream) {
        while (!isStopping || queue.isNotEmpty()) {
            val first = queue.take()
            // Lines that come shortly after one another are written together.
            if (!isStopping) Thread.sleep(GATHER_MILLIS)
            write(first, output)
        }
    }

    private fun write(
        first: ByteArray,
        output: OutputStream,
    ) {
        val lines = ByteArrayOutputStream()
        var next: ByteArray? = first
        while (next != null) {
            lines.write(next)
            next = queue.poll()
        }
        val lost = dropped.getAndSet(0)
        if (lost > 0) lines.write("event=log_lines_dropped count=$lost\n".toByteArray())
        output.write(lines.toByteArray())
        output.flush()
    }

    private companion object {
        const val QUEUE_LENGTH = 4_096
        const val GATHER_MILLIS = 50L
        const val STOP_MILLIS = 500L
    }
}
