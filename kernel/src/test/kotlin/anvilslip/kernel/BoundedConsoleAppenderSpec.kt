package anvilslip.kernel

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.LoggingEvent
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.util.concurrent.CountDownLatch

class BoundedConsoleAppenderSpec :
    DescribeSpec({
        describe("BoundedConsoleAppender with a blocked console") {
            it("does not block callers and reports the number of dropped lines") {
                val originalErr = System.err
                val release = CountDownLatch(1)
                val written = ByteArrayOutputStream()
                val blockedStream =
                    object : PrintStream(written) {
                        override fun write(bytes: ByteArray) {
                            release.await()
                            written.write(bytes)
                        }
                    }
                System.setErr(blockedStream)
                try {
                    val context = LoggerContext()
                    val appender = BoundedConsoleAppender()
                    appender.context = context
                    appender.encoder =
                        PatternLayoutEncoder().apply {
                            this.context = context
                            pattern = "%msg%n"
                            start()
                        }
                    appender.start()
                    repeat(LINE_COUNT) { appender.doAppend(LoggingEvent("", context.getLogger("a"), Level.INFO, "line $it", null, null)) }
                    release.countDown()
                    appender.stop()
                    val lines = written.toString().lines().filter { it.isNotEmpty() }
                    val dropped = lines.sumOf { it.substringAfter("event=log_lines_dropped count=", "0").toInt() }
                    lines.count { it.startsWith("line ") } + dropped shouldBe LINE_COUNT
                    (dropped > 0) shouldBe true
                } finally {
                    System.setErr(originalErr)
                }
            }
        }

        describe("BoundedConsoleAppender whose console fails once") {
            // Guards against a process that writes no line to its log any more.
            it("writes the lines that follow") {
                val originalErr = System.err
                val written = ByteArrayOutputStream()
                var failure: Throwable? = IllegalStateException("unexpected")
                val failingStream =
                    object : PrintStream(written) {
                        override fun write(bytes: ByteArray) {
                            failure?.let {
                                failure = null
                                throw it
                            }
                            written.write(bytes)
                        }
                    }
                System.setErr(failingStream)
                try {
                    val context = LoggerContext()
                    val appender = BoundedConsoleAppender()
                    appender.context = context
                    appender.encoder =
                        PatternLayoutEncoder().apply {
                            this.context = context
                            pattern = "%msg%n"
                            start()
                        }
                    appender.start()
                    for (line in listOf("first", "second")) {
                        appender.doAppend(LoggingEvent("", context.getLogger("a"), Level.INFO, line, null, null))
                        Thread.sleep(BATCH_MILLIS)
                    }
                    appender.stop()
                    written.toString() shouldBe "second\nevent=log_lines_dropped count=1\n"
                } finally {
                    System.setErr(originalErr)
                }
            }
        }
    }) {
    private companion object {
        const val LINE_COUNT = 20_000

        /** Long enough for a line to be written before the next one is appended. */
        const val BATCH_MILLIS = 300L
    }
}
