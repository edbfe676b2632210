package anvilslip.gateway

import anvilslip.entry.http.SendGate
import anvilslip.policy.DispatchDecision
import anvilslip.policy.LimitGrant
import kotlin.time.Duration

/** One attempt to run a request on a backend server. */
internal class Attempt(
    val number: Long,
    val decision: DispatchDecision.Send,
    /** Term of the leader that decided; null for a local decision. */
    val term: Long? = null,
    /** Time at which the decision was asked for. */
    val askedAt: Duration = Duration.ZERO,
    /** Version of the server's software. */
    val softwareVersion: String = "",
) {
    val limitGrant: LimitGrant? get() = if (term == null) null else decision.limitSequence?.let { LimitGrant(term, it) }

    /** Tells whether a byte of the request may have been sent in this attempt. */
    val gate = SendGate()
}
