package anvilslip.kernel

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging

/** Logs each event as one line of `key=value` pairs. */
public class EventLogger private constructor(
    /** Null to discard all events. */
    private val logger: KLogger?,
) {
    /** Logs under the logger `anvilslip.NAME`. */
    public constructor(name: String) : this(KotlinLogging.logger("anvilslip.$name"))

    /** Logs [event] at debug level. */
    public fun debug(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        logger?.debug { formatEvent(event, fields.asList()) }
    }

    /** Logs [event] at info level. */
    public fun info(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        if (logger == null) formatEvent(event, fields.asList()) else logger.info { formatEvent(event, fields.asList()) }
    }

    /** Logs [event] at warn level. */
    public fun warn(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        logger?.warn { formatEvent(event, fields.asList()) }
    }

    /** Logs [event] at error level. */
    public fun error(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        logger?.error { formatEvent(event, fields.asList()) }
    }

    public companion object {
        /** Returns a logger for synthetic work: events at info level are formatted, so that this code is compiled, and all are discarded. */
        public fun discarding(): EventLogger = EventLogger(null as KLogger?)
    }
}
