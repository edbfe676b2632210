package anvilslip.policy

import kotlin.time.Duration

/** A place for an adapter on an engine that is taken. */
internal class AdapterPlace(
    val adapter: String,
    /** Version that was loaded; null when none was named at the time. */
    var version: Long?,
    /** When the adapter can be used; null while its load is not ordered yet. */
    var readyAt: Duration?,
    var lastUse: Duration,
) {
    /** Requests sent here that have not ended. */
    var inUse = 0

    fun isIdle(now: Duration): Boolean = inUse <= 0 && readyAt.let { it != null && now >= it }
}
