package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** Times, weights and limits of a [Dispatcher]. */
public data class DispatchOptions(
    /** Initial estimate of the prefill speed of an engine, in prompt tokens per millisecond. */
    val tokensPerMillisecond: Double = 15.0,
    /** Initial estimate of the time that a running request adds to the prefill of a prompt, since it makes each batch step longer. */
    val runningRequestCost: Duration = 500.microseconds,
    /** Time to load an adapter from the weight store. */
    val adapterLoad: Duration = 250.milliseconds,
    /** Time to load an adapter that the server evicted recently. */
    val warmAdapterLoad: Duration = 25.milliseconds,
    /** Safety margin added to the expected load time before a request is sent. */
    val loadMargin: Duration = 20.milliseconds,
    /** Concurrent adapter loads per server that the weight store supports at full speed. */
    val concurrentLoadsPerServer: Double = 0.55,
    /** Concurrent adapter loads that the weight store supports at full speed even for a small fleet. */
    val minConcurrentLoads: Int = 8,
    /** Maximum number of concurrent adapter loads on one server. */
    val loadsPerServer: Int = 4,
    /** Number of most recently evicted adapters that a server can reload quickly. */
    val warmAdapters: Int = 24,
    /** Ready engines of a service from which on its requests wait in an [AdmissionQueue] until their deadline. */
    val minQueueEngines: Int = 32,
    /** Time that an additional copy of an adapter must save to be worth loading. */
    val copyThreshold: Duration = 280.milliseconds,
    /** Share of a request's target that it may wait for a server with its adapter before another copy is considered. */
    val holderWaitShare: Double = 0.45,
    /** Penalty for a load from the weight store, which all servers share, compared with a reload local to the server. */
    val fetchPenalty: Duration = 400.milliseconds,
    /** Penalty for a server in another zone, which accounts for cross-zone traffic. */
    val zonePenalty: Duration = 20.milliseconds,
    /** Initial estimate of the service time of a plain request. */
    val serviceTime: Duration = 40.milliseconds,
    /** Share of an engine's KV cache that the dispatcher may fill. */
    val memoryShare: Double = 0.9,
    /** Expected wait above which a request is refused, as a share of its target. */
    val waitShare: Double = 1.05,
    /** Share of a request's target that it may wait for the token bucket of its workspace to refill. */
    val limitWaitShare: Double = 0.5,
    /** Factor applied to the rate limit of a cold server to get the hard bound for all instances together. */
    val coldOvershoot: Double = 1.0,
    /** Requests per second added to that bound. */
    val coldSlack: Double = 0.0,
    /** How long an unreachable server is avoided. */
    val unreachablePause: Duration = 1000.milliseconds,
    /** How long a server receives no orders after an order or a state query failed. */
    val failedOrderPause: Duration = 500.milliseconds,
)
