package anvilslip.policy

import kotlin.time.Duration

/** A place for an adapter on an engine that is taken. */
internal class AdapterSlot(
    val adapter: String,
    var state: State,
    /** Version that was loaded; null when none was named at the time. */
    var version: Long?,
    /** When the adapter can be used. */
    var readyAt: Duration,
    var lastUse: Duration,
) {
    enum class State {
        /** An order to load it is about to be given. */
        RESERVED,

        /** It is loaded, or will be at [readyAt]. */
        LOADED,

        /** An order to drop it is about to be given. */
        LEAVING,
    }

    /** Requests sent here that have not ended. */
    var inUse = 0

    fun isIdle(now: Duration): Boolean = state == State.LOADED && inUse <= 0 && now >= readyAt

    fun isLoading(now: Duration): Boolean = state == State.RESERVED || now < readyAt
}
