package anvilslip.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** Capacity and speed of an [EngineModel], with the values that deployments publish. */
public data class EngineModelOptions(
    /** Maximum number of requests in the batch. */
    val slots: Int = 64,
    /** Prefill speed. */
    val prefillTokensPerMillisecond: Double = 19.2,
    /** Maximum number of prompt tokens that are prefilled in one step. */
    val prefillChunk: Int = 1024,
    /** Base time of a decode step, which generates one token for each decoding request. */
    val stepTime: Duration = 10.milliseconds,
    /** Additional time of a decode step for each decoding request. */
    val stepTimePerRequest: Duration = 28.microseconds,
    /** KV memory, in tokens, shared by running requests and the prefix cache. */
    val kvCapacityTokens: Int = 125_000,
    /** Maximum number of adapters that are loaded at the same time. */
    val adapterSlots: Int = 6,
    /** Number of recently evicted adapters that stay in the host cache and load quickly. */
    val warmAdapters: Int = 36,
    /** Time to load an adapter from the weight store when the store is not overloaded. */
    val adapterLoadTime: Duration = 250.milliseconds,
    /** Time to load an adapter from the host cache. */
    val warmAdapterLoadTime: Duration = 25.milliseconds,
)
