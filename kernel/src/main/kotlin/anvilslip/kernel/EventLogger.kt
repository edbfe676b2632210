package anvilslip.kernel

import io.github.oshai.kotlinlogging.KotlinLogging

/** Logs each event as one line of `key=value` pairs, under the logger `anvilslip.NAME`. */
public class EventLogger(
    name: String,
) {
    private val logger = KotlinLogging.logger("anvilslip.$name")

    /** Logs [event] at debug level. */
    public fun debug(
        event: String,
        vararg fields: Pair<String, Any?>,
    ): Unit = logger.debug { formatEvent(event, fields.asList()) }

    /** Logs [event] at info level. */
    public fun info(
        event: String,
        vararg fields: Pair<String, Any?>,
    ): Unit = logger.info { formatEvent(event, fields.asList()) }

    /** Logs [event] at warn level. */
    public fun warn(
        event: String,
        vararg fields: Pair<String, Any?>,
    ): Unit = logger.warn { formatEvent(event, fields.asList()) }

    /** Logs [event] at error level. */
    public fun error(
        event: String,
        vararg fields: Pair<String, Any?>,
    ): Unit = logger.error { formatEvent(event, fields.asList()) }
}
