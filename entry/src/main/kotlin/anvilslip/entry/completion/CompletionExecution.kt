package anvilslip.entry.completion

import anvilslip.entry.http.Ran
import anvilslip.policy.AdapterVersion
import anvilslip.state.Adapter

/** State of one request that is kept across its attempts. */
internal class CompletionExecution(
    val admitted: AdmittedRequest,
    val request: CompletionRequest,
    val adapter: Adapter,
    val version: AdapterVersion,
    val fingerprint: String,
) {
    val failedServers = LinkedHashSet<String>()
    var mayHaveRun = false
    var emittedParts = 0
    var crashes = 0
    var waitCause = "service"

    /** Number of tokens that the request uses at most. */
    val tokens: Double get() = (request.inputTokens + request.maxTokens).toDouble()

    /** What is known of the request's execution if it ends now without a response. */
    val ran: Ran get() = if (mayHaveRun) Ran.OUTCOME_UNKNOWN else Ran.NOT_RUN
}
