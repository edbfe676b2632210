package anvilslip.gateway

import anvilslip.entry.http.SendGate
import anvilslip.policy.DispatchDecision

/** One attempt to run a request on a backend server. */
internal class Attempt(
    val number: Long,
    val decision: DispatchDecision.Send,
) {
    /** Tells whether a byte of the request may have been sent in this attempt. */
    val gate = SendGate()
}
