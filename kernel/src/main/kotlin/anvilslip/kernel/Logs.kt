package anvilslip.kernel

import ch.qos.logback.classic.LoggerContext
import org.slf4j.LoggerFactory

/** The log of the process as a whole. */
public object Logs {
    /** Writes what is queued and ends logging; to be called last. */
    public fun close() {
        (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
    }
}
