package anvilslip.wire

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Timeouts and limits of connections between instances. */
public data class PeerOptions(
    val connectTimeout: Duration = 1.seconds,
    val callTimeout: Duration = 2.seconds,
    /** A connection is considered dead and replaced when nothing was received on it for this long although a frame was sent since. */
    val silenceTimeout: Duration = 1.seconds,
    val reconnectDelay: Duration = 200.milliseconds,
    /** Capacity of the queue of outgoing frames of a connection; further messages are dropped. */
    val queueLength: Int = 4_096,
    /** Size of the messages in that queue; a larger message is accepted only while the queue is empty. */
    val queueBytes: Long = 8L * 1024 * 1024,
)
