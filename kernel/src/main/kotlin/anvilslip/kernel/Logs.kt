package anvilslip.kernel

import ch.qos.logback.classic.LoggerContext
import org.slf4j.LoggerFactory

/** Controls logging for the whole process. */
public object Logs {
    /** Writes queued log lines and shuts logging down. Call it last, since later lines are lost. */
    public fun close() {
        (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
    }
}
