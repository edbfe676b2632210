package anvilslip.gateway

import anvilslip.policy.ServeDecision

/** One attempt to run a request on a backend server. */
internal class Attempt(
    val number: Long,
    val decision: ServeDecision.Send,
)
