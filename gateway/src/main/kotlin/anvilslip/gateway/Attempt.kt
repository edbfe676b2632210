package anvilslip.gateway

import anvilslip.policy.DispatchDecision

/** One attempt to run a request on a backend server. */
internal class Attempt(
    val number: Long,
    val decision: DispatchDecision.Send,
)
