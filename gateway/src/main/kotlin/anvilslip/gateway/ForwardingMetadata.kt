package anvilslip.gateway

import kotlin.time.Duration

/** What an entry instance tells a backend server about a request, beside what the client sent. */
public data class ForwardingMetadata(
    /** ID of the server that is meant; another one at the same address must refuse. */
    val server: String,
    val workspace: String?,
    /** Time until nobody waits for the answer. */
    val remaining: Duration,
    /** 0 is the most urgent. */
    val priority: Int,
    /** Version of the adapter that must run; null for any. */
    val version: Long?,
    /** Event after which a stream is to go on. */
    val lastEventId: String?,
)
