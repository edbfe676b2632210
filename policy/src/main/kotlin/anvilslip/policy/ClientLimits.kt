package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits on the size of client requests and on the time that clients may take to send them. */
public data class ClientLimits(
    val maxHeaderBytes: Int = 16 * 1024,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val headerTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds,
)
