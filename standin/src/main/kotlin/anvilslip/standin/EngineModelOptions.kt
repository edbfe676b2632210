package anvilslip.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** What an [EngineModel] can do, as deployments publish it. */
public data class EngineModelOptions(
    /** Requests in one batch. */
    val slots: Int = 64,
    /** Prompt tokens read in a millisecond. */
    val promptTokensPerMillisecond: Double = 19.2,
    /** Prompt tokens read between two tokens of the requests that are answered. */
    val chunk: Int = 1024,
    /** Time of one step, which gives each answered request a token. */
    val step: Duration = 10.milliseconds,
    /** What each answered request adds to a step. */
    val stepPerRequest: Duration = 28.microseconds,
    /** Tokens of memory for running requests and kept prompt parts together. */
    val memoryTokens: Int = 125_000,
    /** Adapters that can be used at once. */
    val adapterPlaces: Int = 6,
    /** Adapters dropped last that can be had back quickly. */
    val warmAdapters: Int = 36,
    /** Time an adapter takes from the weight store at full speed. */
    val adapterLoad: Duration = 250.milliseconds,
    /** Time an adapter takes that was held recently. */
    val warmAdapterLoad: Duration = 25.milliseconds,
)
