package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Times, weights and bounds of a [Dispatcher]. */
public data class DispatchOptions(
    /** Prompt tokens an engine reads in a millisecond, until it has been measured. */
    val tokensPerMillisecond: Double = 15.0,
    /** Time an adapter takes from the weight store. */
    val adapterLoad: Duration = 250.milliseconds,
    /** Time an adapter takes that the server held recently. */
    val warmAdapterLoad: Duration = 25.milliseconds,
    /** Added to the expected time of a load before a request is sent. */
    val loadMargin: Duration = 20.milliseconds,
    /** Adapters per server that can come from the weight store at the same time at full speed. */
    val concurrentLoadsPerServer: Double = 0.55,
    /** Adapter loads at the same time that even a small fleet can do at full speed. */
    val minConcurrentLoads: Int = 8,
    /** Adapters that may be on their way to one server. */
    val loadsPerServer: Int = 4,
    /** Adapters a server has dropped last that it can take back quickly. */
    val warmAdapters: Int = 24,
    /** What a second copy of an adapter must save for it to be loaded. */
    val copyThreshold: Duration = 400.milliseconds,
    /** Share of a request's target that it may wait at a server that holds its adapter before another copy is thought of. */
    val holderWaitShare: Double = 0.6,
    /** Disadvantage of a load from the weight store, which all servers share, against one that a server can do by itself. */
    val fetchPenalty: Duration = 400.milliseconds,
    /** Disadvantage of a server in another zone, for the bytes between zones. */
    val zonePenalty: Duration = 20.milliseconds,
    /** Time a plain request takes, until it has been measured. */
    val serviceTime: Duration = 40.milliseconds,
    /** Share of an engine's token memory that may be planned for. */
    val memoryShare: Double = 0.9,
    /** Expected wait at which a request is refused, as a share of its target; over 1, since the estimate errs on the long side. */
    val waitShare: Double = 1.3,
    /** Share of a request's target that it may wait for tokens of its workspace to flow in. */
    val limitWaitShare: Double = 0.5,
    /** How long a server that could not be reached is passed over. */
    val unreachablePause: Duration = 1000.milliseconds,
    /** How long a server that did not answer an order is passed over for loads. */
    val failedOrderPause: Duration = 500.milliseconds,
)
