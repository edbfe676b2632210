package anvilslip.kernel

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.time.Instant

class LogbackConfiguratorSpec :
    DescribeSpec({
        describe("LogbackConfigurator") {
            val context = LoggerFactory.getILoggerFactory() as LoggerContext

            it("is found by logback, so that no configuration file is read") {
                val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
                root.level shouldBe Level.WARN
                root.getAppender("console").shouldBeInstanceOf<BoundedConsoleAppender>()
                context.getLogger("anvilslip.peer").effectiveLevel shouldBe Level.INFO
            }

            it("leaves the loggers of libraries at their warnings") {
                context.getLogger("io.netty.channel").effectiveLevel shouldBe Level.WARN
            }

            it("configures without a complaint") {
                context.statusManager.copyOfStatusList
                    .filter { it.level > 0 }
                    .shouldBeEmpty()
            }
        }

        describe("LogLineEncoder") {
            it("writes one line with the time in UTC and in milliseconds") {
                val event =
                    LoggingEvent("", LoggerContext().getLogger("anvilslip.peer"), Level.INFO, "event=peer_connected peer=a", null, null)
                event.setInstant(Instant.parse("2026-12-05T10:11:12.345Z"))
                val expected = "time=2026-12-05T10:11:12.345Z level=INFO logger=anvilslip.peer event=peer_connected peer=a\n"
                String(LogLineEncoder().encode(event)) shouldBe expected
            }
        }
    })
