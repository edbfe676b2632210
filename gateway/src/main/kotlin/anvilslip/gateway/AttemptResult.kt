package anvilslip.gateway

import anvilslip.entry.http.HttpResponse

/** How an [Attempt] ended. */
internal sealed interface AttemptResult {
    /** The complete response was sent to the client. */
    data class Delivered(
        val status: Int,
    ) : AttemptResult

    /** The server answered with an error that a retry on another server may avoid. */
    data class Failed(
        val response: HttpResponse,
    ) : AttemptResult

    /** The server did not run the request and will not run it later. */
    data class NotRun(
        val reason: String,
        /** True if the server does not hold the adapter that it was expected to hold. */
        val isNotHeld: Boolean = false,
    ) : AttemptResult

    /** The request may have run, but this instance could not keep its response. */
    data class NotKept(
        val reason: String,
        /** True if the response had no stated length and may have had no end, so that the response of another server may be kept. */
        val isEndless: Boolean,
    ) : AttemptResult

    /** The request may have run, but its response was lost or truncated. */
    data class Broken(
        val reason: String,
    ) : AttemptResult
}
