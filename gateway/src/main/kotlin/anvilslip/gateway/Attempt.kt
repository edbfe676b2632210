package anvilslip.gateway

import anvilslip.policy.ServeDecision

/** One sending of a request to a backend server. */
internal class Attempt(
    val number: Long,
    val decision: ServeDecision.Send,
)
