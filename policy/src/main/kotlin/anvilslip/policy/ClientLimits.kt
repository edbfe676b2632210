package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Bounds of what clients may send and how long they may take. */
public data class ClientLimits(
    val maxHeaderBytes: Int = 16 * 1024,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val headerTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds,
)
