package anvilslip.kernel

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.core.spi.ContextAwareBase
import ch.qos.logback.core.status.NopStatusListener
import org.slf4j.Logger

/**
 * Configures logback in code, which costs a fraction of the processor time of reading a configuration file at each start. Logback finds
 * this class as a service.
 *
 * The system property or environment variable `ANVILSLIP_LOG_LEVEL` sets the level of the product's own loggers (`INFO` by default),
 * and `ANVILSLIP_LOG_TARGET` the stream: `System.err` (the default) or `System.out`.
 */
public class LogbackConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(loggerContext: LoggerContext): ExecutionStatus {
        // Without a listener, logback prints its own status messages to the console.
        loggerContext.statusManager.add(NopStatusListener())
        val appender = BoundedConsoleAppender()
        appender.context = loggerContext
        appender.name = "console"
        appender.target = setting(TARGET_SETTING) ?: DEFAULT_TARGET
        appender.encoder = LogLineEncoder().apply { start() }
        appender.start()
        loggerContext.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.WARN
            addAppender(appender)
        }
        loggerContext.getLogger(OWN_LOGGERS).level = Level.toLevel(setting(LEVEL_SETTING), Level.INFO)
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun setting(name: String): String? = System.getProperty(name) ?: System.getenv(name)

    private companion object {
        const val LEVEL_SETTING = "ANVILSLIP_LOG_LEVEL"
        const val TARGET_SETTING = "ANVILSLIP_LOG_TARGET"
        const val DEFAULT_TARGET = "System.err"
        const val OWN_LOGGERS = "anvilslip"
    }
}
