package anvilslip.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Settings of a [LoadGenerator]. */
public data class LoadOptions(
    /** Client addresses of instances, `host:port`; queried in random order to resolve the instances to use. */
    val entries: List<String>,
    val keys: List<String>,
    val adapters: Int,
    val version: String = "v1",
    /** Exponent of the popularity of adapters by rank; 0 is uniform. */
    val skew: Double = 1.0,
    val concurrency: Int = 8,
    val requests: Int = 200,
    val maxTokens: Int = 8,
    val stream: Boolean = true,
    val seed: Long = 1,
    /** Pause between the requests of one client. */
    val pause: Duration = Duration.ZERO,
    val resolveEvery: Duration = 2.seconds,
    /** Whether to send requests directly to engines, bypassing the instances. */
    val direct: Boolean = false,
    /** Maximum number of retries of a refused request, each after the delay given in the refusal. */
    val retries: Int = 0,
)
