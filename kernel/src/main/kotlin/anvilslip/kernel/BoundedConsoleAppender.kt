package anvilslip.kernel

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.UnsynchronizedAppenderBase
import ch.qos.logback.core.encoder.Encoder
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

/**
 * Logback appender that writes to the console in batches from a thread of its own. Callers never block: when the queue is full, lines
 * are dropped, and their number is logged as `log_lines_dropped` with the next batch.
 */
public class BoundedConsoleAppender : UnsynchronizedAppenderBase<ILoggingEvent>() {
    private val queue = ArrayBlockingQueue<ByteArray>(QUEUE_CAPACITY)
    private val droppedLines = AtomicLong()
    private var writer: Thread? = null

    @Volatile
    private var isStopping = false

    /** Encodes log events; set by the logback configuration. */
    public var encoder: Encoder<ILoggingEvent>? = null

    /** `System.out` or `System.err`; set by the logback configuration. */
    public var target: String = "System.err"

    override fun start() {
        val output = if (target == "System.out") System.out else System.err
        writer = Thread({ writeBatches(output) }, "log-writer").apply { isDaemon = true }.also { it.start() }
        super.start()
    }

    override fun stop() {
        super.stop()
        isStopping = true
        // Wakes the writer with an empty line. If the queue is full, the writer has lines to take and needs no wake-up.
        queue.offer(ByteArray(0))
        writer?.join(STOP_TIMEOUT_MILLIS)
    }

    override fun append(event: ILoggingEvent) {
        val line = encoder?.encode(event) ?: return
        if (!queue.offer(line)) droppedLines.incrementAndGet()
    }

    private fun writeBatches(output: OutputStream) {
        while (!isStopping || queue.isNotEmpty()) {
            val first = queue.take()
            // Waits for more lines, so that they are written as one batch.
            if (!isStopping) Thread.sleep(BATCH_DELAY_MILLIS)
            try {
                writeBatch(first, output)
            } catch (e: Throwable) {
                if (e.isFatal) throw e
                // There is nowhere to log it. The loss of the batch is reported with the next one.
                droppedLines.incrementAndGet()
            }
        }
    }

    private fun writeBatch(
        first: ByteArray,
        output: OutputStream,
    ) {
        val lines = ByteArrayOutputStream()
        var next: ByteArray? = first
        while (next != null) {
            lines.write(next)
            next = queue.poll()
        }
        val droppedCount = droppedLines.getAndSet(0)
        if (droppedCount > 0) lines.write("event=log_lines_dropped count=$droppedCount\n".toByteArray())
        output.write(lines.toByteArray())
        output.flush()
    }

    private companion object {
        const val QUEUE_CAPACITY = 4_096
        const val BATCH_DELAY_MILLIS = 50L
        const val STOP_TIMEOUT_MILLIS = 500L
    }
}
