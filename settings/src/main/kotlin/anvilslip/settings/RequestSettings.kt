package anvilslip.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits on the size and duration of requests. */
public data class RequestSettings(
    val maxBodyBytes: Int = 1024 * 1024,
    val maxHeaderBytes: Int = 16 * 1024,
    val maxJsonDepth: Int = 32,
    /** Maximum time in which a caller must have sent the whole request. */
    val receiveTimeout: Duration = 10.seconds,
    /** Maximum time without data from a backend server during a response. */
    val backendSilence: Duration = 5.seconds,
    /** Maximum total time of a request. */
    val requestTimeout: Duration = 120.seconds,
    /** Maximum number of generated tokens if the request sets no limit. */
    val defaultMaxTokens: Int = 128,
    /** How long callers may cache the resolved instances. */
    val resolveLifetime: Duration = 5.seconds,
)
