package anvilslip.gateway

import anvilslip.policy.DispatchDecision

/** One sending of a request to a backend server. */
internal class Attempt(
    val number: Long,
    val decision: DispatchDecision.Send,
)
