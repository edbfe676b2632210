package anvilslip.gateway

import anvilslip.entry.HttpResponse

/** How an [Attempt] ended. */
internal sealed interface AttemptResult {
    /** The client has its answer. */
    data class Delivered(
        val status: Int,
    ) : AttemptResult

    /** The server answered with a failure of its own, which a repeated run may avoid. */
    data class Failed(
        val answer: HttpResponse,
    ) : AttemptResult

    /** The server certainly did not run the request and never will. */
    data class NotRun(
        val reason: String,
    ) : AttemptResult

    /** The request may have run, and its answer is lost or cut off. */
    data class Broken(
        val reason: String,
    ) : AttemptResult
}
