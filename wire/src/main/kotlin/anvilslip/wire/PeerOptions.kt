package anvilslip.wire

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Timing of connections between instances. */
public data class PeerOptions(
    val connectTimeout: Duration = 1.seconds,
    val callTimeout: Duration = 2.seconds,
    /** A connection with a call unanswered for this long is taken to be dead and replaced. */
    val silenceTimeout: Duration = 1.seconds,
    val reconnectDelay: Duration = 200.milliseconds,
    /** Messages that may wait for a connection; further ones are dropped. */
    val queueLength: Int = 4_096,
)
