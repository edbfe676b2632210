package anvilslip.policy

import kotlin.time.Duration

/** An occupied adapter slot of an engine. */
internal class AdapterSlot(
    val adapter: String,
    var state: State,
    /** Version that was ordered or reported; null when none was specified. */
    var version: Long?,
    /** Monotonic time at which the adapter becomes usable. */
    var readyAt: Duration,
    var lastUsedAt: Duration,
) {
    enum class State {
        /** The slot is reserved; the load order has not been sent yet. */
        RESERVED,

        /** The adapter is loaded, or will be at [readyAt]. */
        LOADED,

        /** The adapter was chosen for eviction; the unload order has not been sent yet. */
        LEAVING,
    }

    /** When the slot was last reserved. */
    var reservedAt: Duration = lastUsedAt

    /** The accepted load from the weight store; null once a request has used the adapter, and for other loads. */
    var unconfirmedLoad: AdapterLoadTime.Started? = null

    /** Requests in flight that use the adapter. */
    var inFlight = 0

    fun isIdle(now: Duration): Boolean = state == State.LOADED && inFlight <= 0 && now >= readyAt

    fun isLoading(now: Duration): Boolean = state == State.RESERVED || now < readyAt

    /** True if the server has accepted the load and it has not ended. */
    fun isInTransit(now: Duration): Boolean = state != State.RESERVED && now < readyAt
}
