package anvilslip.gateway

import kotlin.time.Duration

/**
 * What a backend server says in its answer about further requests from this instance.
 *
 * @property isLeaving true if the server is about to shut down
 * @property pause time for which the server wants no requests; null if it wants them at once
 * @property limit what the answer says about the server's limit
 */
public data class ServerNotice(
    val isLeaving: Boolean = false,
    val pause: Duration? = null,
    val limit: LimitNotice = LimitNotice.None,
)
