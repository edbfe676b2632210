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
        describe("the log of a process whose console is not read") {
            it("never makes a caller wait, and counts the lines it drops") {
                val before = System.err
                val release = CountDownLatch(1)
                val written = ByteArrayOutputStream()
                val blocked =
                    object : PrintStream(written) {
                        override fun write(bytes: ByteArray) {
                            release.await()
                            written.write(bytes)
                        }
                    }
                System.setErr(blocked)
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
                    repeat(LINES) { appender.doAppend(LoggingEvent("", context.getLogger("a"), Level.INFO, "line $it", null, null)) }
                    release.countDown()
                    appender.stop()
                    val lines = written.toString().lines().filter { it.isNotEmpty() }
                    val dropped = lines.sumOf { it.substringAfter("event=log_lines_dropped count=", "0").toInt() }
                    lines.count { it.startsWith("line ") } + dropped shouldBe LINES
                    (dropped > 0) shouldBe true
                } finally {
                    System.setErr(before)
                }
            }
        }
    }) {
    private companion object {
        const val LINES = 20_000
    }
}
