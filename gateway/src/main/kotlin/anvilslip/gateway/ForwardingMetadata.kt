package anvilslip.gateway

import kotlin.time.Duration

/** What an entry instance adds to a request when it forwards it to a backend server. */
public data class ForwardingMetadata(
    /** ID of the intended server; a different server at the same address must reject the request. */
    val server: String,
    val workspace: String?,
    /** Time left until the deadline of the request. */
    val remaining: Duration,
    /** 0 is the most urgent. */
    val priority: Int,
    /** Required version of the adapter; null for any. */
    val version: Long?,
    /** ID of the event after which the stream must resume; null for a new stream. */
    val lastEventId: String?,
)
