package anvilslip.gateway

import anvilslip.entry.HttpResponder
import anvilslip.policy.SseEventBuffer
import anvilslip.policy.ServingRoute
import anvilslip.policy.ServingWorkspace
import kotlin.time.Duration

/** One request of a client on its way through this instance. */
internal class Exchange(
    val request: ClientRequest,
    val route: ServingRoute,
    val service: String,
    val workspace: ServingWorkspace?,
    val configurationVersion: Long,
    val responder: HttpResponder,
    val startedAt: Duration,
    val deadline: Duration,
) {
    val events = SseEventBuffer(request.lastEventId?.toLongOrNull())
    val excluded = HashSet<String>()

    /** Sendings after which the request may have run. */
    var runs = 0

    /** Sendings in all. */
    var sendings = 0
    var hasBegun = false
    var isCharged = false
    var lastServer: String? = null

    /** When the answer of a server broke off last. */
    var brokenAt: Duration? = null
    var lastTerm: Long? = null
}
