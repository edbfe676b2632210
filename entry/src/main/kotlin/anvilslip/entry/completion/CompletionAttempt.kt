package anvilslip.entry.completion

import anvilslip.entry.http.ApiError

/** Outcome of one attempt to run a request on a server. */
internal sealed interface CompletionAttempt {
    data object Completed : CompletionAttempt

    /** Another server may run the request; [error] is the response if no attempt is left. */
    class Retry(
        val error: ApiError,
    ) : CompletionAttempt

    class Failed(
        val error: ApiError,
    ) : CompletionAttempt
}
